/**
 * Start and stop of the entry node process.
 */
package org.agatehatch.daemon;
