package org.agatehatch.api.routing;

import java.util.concurrent.TimeUnit;

/**
 * Admission control: decides whether an arriving request may enter its pool's queue. The limits of the queue and of
 * owners apply in addition to the policy.
 *
 * <pre>{@code
 * AdmissionPolicy onlyShortWaits = (request, nowNanos, predictedMillis) -> predictedMillis < 1_000
 *         ? AdmissionVerdict.ADMITTED
 *         : AdmissionVerdict.refused(2_000, "the wait is above 1 s");
 * }</pre>
 */
@FunctionalInterface
public interface AdmissionPolicy {
    /**
     * Returns whether the request is admitted.
     *
     * @param nowNanos monotonic time of the arrival
     * @param predictedFirstTokenMillis predicted time from now to the first token, given the current queue
     */
    AdmissionVerdict decide(AdmissionRequest request, long nowNanos, double predictedFirstTokenMillis);

    /** Returns a policy that admits all requests, so that only the queue's limits apply. */
    static AdmissionPolicy admitAll() {
        return (request, nowNanos, predictedFirstTokenMillis) -> AdmissionVerdict.ADMITTED;
    }

    /**
     * Returns the default policy, which refuses a request if its first token is predicted to miss the deadline. The
     * caller learns at once that the request was not run, and the capacity goes to requests that can still meet theirs.
     */
    static AdmissionPolicy deadlineAware() {
        return (request, nowNanos, predictedFirstTokenMillis) -> {
            double leftMillis = (request.firstTokenDeadlineNanos() - nowNanos) / 1e6;
            if (predictedFirstTokenMillis <= leftMillis) {
                return AdmissionVerdict.ADMITTED;
            }
            long excessMillis = (long) Math.ceil(predictedFirstTokenMillis - Math.max(0, leftMillis));
            long retryAfterMillis = Math.max(TimeUnit.SECONDS.toMillis(1), excessMillis);
            return AdmissionVerdict.refused(
                    retryAfterMillis,
                    "the first token is predicted in " + Math.round(predictedFirstTokenMillis)
                            + " ms, but its deadline is in " + Math.round(leftMillis) + " ms");
        };
    }
}
