package org.agatehatch.api.catalogue;

/**
 * A named group of backend servers that serve the same entries.
 *
 * @param storeLoadsAtOnce maximum concurrent loads from the weight store; 0 for a pool of plain services
 * @param storeLoadsPerSecond maximum loads per second from the weight store; 0 for a pool of plain services
 * @param adapterLoadsInFlight maximum concurrent adapter loads over all runners of the pool
 * @param moveWeight cost of moving a replica, in seconds of missed latency targets; higher values cause fewer moves
 */
public record Pool(
        String name,
        PoolKind kind,
        String region,
        int storeLoadsAtOnce,
        double storeLoadsPerSecond,
        int adapterLoadsInFlight,
        double moveWeight) {}
