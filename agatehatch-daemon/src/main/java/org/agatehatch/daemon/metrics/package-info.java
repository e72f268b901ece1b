/**
 * Metrics of a node for Prometheus.
 */
package org.agatehatch.daemon.metrics;
