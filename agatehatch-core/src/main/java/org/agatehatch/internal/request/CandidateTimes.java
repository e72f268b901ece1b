package org.agatehatch.internal.request;

import java.util.random.RandomGenerator;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.ServerEntry;

/** Predictions for the candidates of one choice. Reused, so that a choice allocates nothing for a candidate. */
final class CandidateTimes {
    /** Scores of servers at their useful concurrency grow by this multiple of the usual latency. */
    private static final double OVER_LIMIT_FACTOR = 4;

    /**
     * Multiple of the usual latency that a server at its useful concurrency scores above an idle one if much is unseen: the more
     * a server has in flight, the more likely it has none free for a request.
     */
    private static final double UNCERTAINTY_FACTOR = 3;

    double[] scores = new double[0];
    double[] predictedMillis = scores;
    double[] baselineMillis = scores;
    double[] serverMillis = scores;
    double[] workMillis = scores;
    double[] ownWork = scores;
    double[] networkMillis = scores;
    double[] factors = scores;
    double[] costs = scores;
    double[] shares = scores;
    double[] knownInFlight = scores;
    double[] usefulConcurrency = scores;
    /** Part of the requests sent since the last report that is still running. */
    double[] remaining = scores;

    boolean[] refusable = new boolean[0];
    int[] uncachedTokens = new int[0];
    int[] inFlight = new int[0];
    double modelFactor = 1;
    private int count;

    void reset(int candidates) {
        count = candidates;
        if (scores.length < candidates) {
            int size = 2 * candidates;
            scores = new double[size];
            predictedMillis = new double[size];
            baselineMillis = new double[size];
            serverMillis = new double[size];
            workMillis = new double[size];
            ownWork = new double[size];
            networkMillis = new double[size];
            factors = new double[size];
            costs = new double[size];
            shares = new double[size];
            knownInFlight = new double[size];
            usefulConcurrency = new double[size];
            remaining = new double[size];
            refusable = new boolean[size];
            uncachedTokens = new int[size];
            inFlight = new int[size];
        }
        for (int i = 0; i < candidates; i++) {
            workMillis[i] = 0;
            uncachedTokens[i] = 0;
        }
    }

    /**
     * Puts plain servers that are at their useful concurrency behind the others, and spreads requests the more evenly over the
     * concurrency of all, the more requests are unseen.
     */
    void weighConcurrency(double unseenRequests, double usualMillis) {
        double slope = UNCERTAINTY_FACTOR * usualMillis * unseenRequests / (1 + unseenRequests);
        for (int i = 0; i < count; i++) {
            double load = (knownInFlight[i] + 1) / usefulConcurrency[i];
            scores[i] += slope * load + (load > 1 ? OVER_LIMIT_FACTOR * usualMillis * load : 0);
            costs[i] = (costs[i] + slope / usefulConcurrency[i]) * remaining[i];
        }
    }

    /**
     * Returns the index of the candidate with the lowest score, or one drawn by its share of the work that other nodes have
     * probably sent.
     */
    int choose(double unseenWork, ServiceCapacity service, RandomGenerator random) {
        LoadSpreading.allocate(scores, costs, count, unseenWork, shares);
        return LoadSpreading.draw(shares, count, unseenWork > 0 ? service.nextDraw(random) : 0);
    }

    CapacityExpectation expectation(int index, ServerEntry server, ServerChoiceRequest request) {
        return new CapacityExpectation(
                server,
                request.generation().map(GenerationRequest::model).orElse(""),
                workMillis[index],
                ownWork[index],
                modelFactor,
                networkMillis[index],
                inFlight[index]);
    }
}
