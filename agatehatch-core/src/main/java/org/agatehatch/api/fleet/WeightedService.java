package org.agatehatch.api.fleet;

/** A service that receives a share of a route's requests in proportion to its weight. */
public record WeightedService(String service, double weight) {}
