/**
 * Stand-in of the platform's append-only log.
 */
package org.agatehatch.standins.log;
