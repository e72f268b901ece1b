/**
 * Settings of a node, read from flags and environment variables and validated at start.
 */
package org.agatehatch.daemon.settings;
