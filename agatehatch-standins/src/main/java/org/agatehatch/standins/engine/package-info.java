/**
 * Stand-in of a model engine: continuous batching with a stated service-time model, memory that is checked, a prefix
 * cache, streams, orders and faults. {@link org.agatehatch.standins.engine.EngineStandIn} is the entry point.
 */
package org.agatehatch.standins.engine;
