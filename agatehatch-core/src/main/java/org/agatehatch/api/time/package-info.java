/**
 * Clocks that callers pass to the library, so that tests can control time.
 */
package org.agatehatch.api.time;
