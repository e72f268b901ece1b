/**
 * The path of a request from the caller to a backend server and back.
 */
package org.agatehatch.daemon.traffic;
