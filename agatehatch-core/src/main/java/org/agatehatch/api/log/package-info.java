/**
 * The interface to the platform's append-only log.
 */
package org.agatehatch.api.log;
