package org.agatehatch.internal.request;

import org.agatehatch.api.fleet.ServerEntry;

/**
 * What was expected of an answer when its request was sent, to be compared with the answer.
 *
 * @param model model of the generation; empty for a request without one
 * @param workMillis time to the first event that the usual runner needs for the work ahead of it, given the models' known
 *     factors; 0 without generation
 * @param ownWork part of that work that is the request's own; 1 without generation
 * @param modelFactor factor of the model that the own part contains
 * @param networkMillis time on the network, which no server's speed changes
 * @param inFlight requests in flight at the server, including this one
 */
public record CapacityExpectation(
        ServerEntry server,
        String model,
        double workMillis,
        double ownWork,
        double modelFactor,
        double networkMillis,
        int inFlight) {
    /** Returns whether the request asks a runner for a generation. */
    public boolean generation() {
        return !model.isEmpty();
    }
}
