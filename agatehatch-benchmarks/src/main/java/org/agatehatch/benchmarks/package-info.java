/**
 * Benchmarks and slope measurements.
 */
package org.agatehatch.benchmarks;
