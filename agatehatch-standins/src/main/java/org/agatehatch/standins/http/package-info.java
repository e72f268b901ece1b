/**
 * HTTP listener, JSON and fault switches that all stand-ins share. Connections are handled at the level of TCP, so that
 * a stand-in can cut one without an answer.
 */
package org.agatehatch.standins.http;
