package org.agatehatch.api.routing;

/**
 * The chosen backend server for one attempt.
 *
 * @param predictedFirstTokenMillis predicted time to the first token
 * @param reason short text for the decision log
 */
public record RoutingDecision(Candidate candidate, double predictedFirstTokenMillis, String reason) {}
