/**
 * HTTP interfaces for callers and operators.
 */
package org.agatehatch.daemon.front;
