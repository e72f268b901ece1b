package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.Map;
import org.agatehatch.api.placement.Charge;

/**
 * Paces loads at the weight store's rate and backs off exponentially after failed loads, for each model and runner and for all
 * loads together, so that retries do not pile up.
 */
final class LoadPacer {
    private final PlacementContext context;
    private final Map<String, Failures> failuresByTarget = new HashMap<>();
    private int consecutiveFailures;
    private long nextLoadMillis = Long.MIN_VALUE;

    /** Consecutive failed loads of one model on one runner, and the end of its backoff. */
    private record Failures(int count, long untilMillis) {}

    LoadPacer(PlacementContext context) {
        this.context = context;
    }

    boolean mayLoad(String model, String runner, long nowMillis) {
        Failures failures = failuresByTarget.get(target(model, runner));
        return nowMillis >= nextLoadMillis && (failures == null || nowMillis >= failures.untilMillis());
    }

    boolean isBackedOff(String model, String runner, long nowMillis) {
        Failures failures = failuresByTarget.get(target(model, runner));
        return failures != null && nowMillis < failures.untilMillis();
    }

    void loadStarted(double loadsPerSecond, long nowMillis) {
        long gap = loadsPerSecond > 0 ? (long) Math.ceil(1000 / loadsPerSecond) : 0;
        nextLoadMillis = Math.max(nextLoadMillis, nowMillis + gap);
    }

    void loadSucceeded(Charge charge) {
        failuresByTarget.remove(target(charge.model(), charge.runner()));
        consecutiveFailures = 0;
    }

    void loadFailed(Charge charge, long nowMillis) {
        failuresByTarget.merge(
                target(charge.model(), charge.runner()),
                new Failures(1, nowMillis + context.times().backoffMillis(1, context.random())),
                (old, first) -> new Failures(
                        old.count() + 1, nowMillis + context.times().backoffMillis(old.count() + 1, context.random())));
        consecutiveFailures++;
        nextLoadMillis = Math.max(
                nextLoadMillis, nowMillis + context.times().backoffMillis(consecutiveFailures - 1, context.random()));
    }

    private static String target(String model, String runner) {
        return model + '@' + runner;
    }
}
