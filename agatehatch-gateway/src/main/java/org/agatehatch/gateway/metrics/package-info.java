/** Metrics of the gateway. */
package org.agatehatch.gateway.metrics;
