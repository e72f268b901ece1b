package org.agatehatch.api.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Samples among the candidates whose score is close to the lowest. The score is the predicted time to the first token,
 * plus a penalty for each request in the batch, since a larger batch slows all tokens after the first.
 *
 * <p>Candidates within 20% or 20 ms of the lowest score are sampled with a probability inversely proportional to their
 * score. Nodes with the same stale load reports would otherwise all choose the same runner.
 *
 * <pre>{@code
 * RoutingPolicy policy = new DefaultRoutingPolicy(
 *         FirstTokenModel.DEFAULT, () -> ThreadLocalRandom.current().nextDouble());
 * }</pre>
 */
public final class DefaultRoutingPolicy implements RoutingPolicy {
    static final double NEAR_BEST_FACTOR = 1.2;
    static final double NEAR_BEST_MILLIS = 20;
    /** Lower limit of the scores in sampling; a score near 0 would get almost all of the probability. */
    private static final double MIN_SCORE_MILLIS = 5;

    /**
     * Penalty for each request in the batch. Without it, the scores of batches of 60 and 10 requests differ by only
     * 10 ms. In experiments, 4, 8 and 16 ms met more latency targets than 0 ms, and 16 ms met the most.
     */
    private static final double BATCH_MILLIS_PER_REQUEST = 16;

    private static final double INELIGIBLE_SCORE_MILLIS = Double.POSITIVE_INFINITY;

    private final FirstTokenModel model;
    private final DoubleSupplier random;

    /**
     * Creates the policy.
     *
     * @param random supplies uniform values from 0 inclusive to 1 exclusive; called by many threads at once
     */
    public DefaultRoutingPolicy(FirstTokenModel model, DoubleSupplier random) {
        this.model = model;
        this.random = random;
    }

    @Override
    public Optional<RoutingDecision> choose(RoutingRequest request, List<Candidate> candidates) {
        double[] scores = new double[candidates.size()];
        double best = score(request, candidates, scores);
        if (best == INELIGIBLE_SCORE_MILLIS) {
            return Optional.empty();
        }
        double limit = Math.max(best * NEAR_BEST_FACTOR, best + NEAR_BEST_MILLIS);
        int chosen = sample(scores, limit);
        String reason = "best_score_ms=" + Math.round(best) + " near_best=" + countUpTo(scores, limit) + " of="
                + candidates.size();
        Candidate candidate = candidates.get(chosen);
        return Optional.of(new RoutingDecision(candidate, scores[chosen] - batchMillis(candidate), reason));
    }

    private static double batchMillis(Candidate candidate) {
        return BATCH_MILLIS_PER_REQUEST * candidate.runningRequests();
    }

    private double score(RoutingRequest request, List<Candidate> candidates, double[] scores) {
        double meanQueue = meanReportedQueuedTokens(candidates);
        double best = INELIGIBLE_SCORE_MILLIS;
        for (int i = 0; i < scores.length; i++) {
            Candidate candidate = candidates.get(i);
            if (!Eligibility.eligible(candidate)) {
                scores[i] = INELIGIBLE_SCORE_MILLIS;
                continue;
            }
            scores[i] = model.predictMillis(request, candidate, estimatedQueuedTokens(candidate, meanQueue))
                    + batchMillis(candidate);
            best = Math.min(best, scores[i]);
        }
        return best;
    }

    /**
     * Returns the queued tokens of a candidate. Without a recent load report, the mean queue is the lower limit: a
     * queue that counts as empty would attract the requests of all nodes.
     */
    private double estimatedQueuedTokens(Candidate candidate, double meanQueue) {
        double known = candidate.queuedTokens();
        return model.hasFreshReport(candidate) ? known : Math.max(known, meanQueue);
    }

    private double meanReportedQueuedTokens(List<Candidate> candidates) {
        double sum = 0;
        int reported = 0;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(i);
            if (model.hasFreshReport(candidate)) {
                sum += candidate.queuedTokens();
                reported++;
            }
        }
        return reported == 0 ? 0 : sum / reported;
    }

    private int sample(double[] scores, double limit) {
        double total = 0;
        for (double score : scores) {
            total += weight(score, limit);
        }
        double point = random.getAsDouble() * total;
        int last = 0;
        for (int i = 0; i < scores.length; i++) {
            double weight = weight(scores[i], limit);
            if (weight == 0) {
                continue;
            }
            last = i;
            point -= weight;
            if (point < 0) {
                return i;
            }
        }
        return last;
    }

    private static double weight(double score, double limit) {
        return score <= limit ? 1 / Math.max(score, MIN_SCORE_MILLIS) : 0;
    }

    private static int countUpTo(double[] scores, double limit) {
        int count = 0;
        for (double score : scores) {
            if (score <= limit) {
                count++;
            }
        }
        return count;
    }
}
