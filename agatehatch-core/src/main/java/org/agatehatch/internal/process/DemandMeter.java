package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PromptPart;
import org.agatehatch.api.time.MonotonicClock;

/** Accumulates the demand of this node's requests for models until it is reported. Not thread-safe. */
public final class DemandMeter {
    /** Time of one decoding step, which generates a token for each request of the batch; the data sheets state 5.05 ms and more. */
    private static final double STEP_MILLIS = 5.5;

    /** Prefill delays the output of the whole batch, so that it counts for more than its own time. */
    private static final double PREFILL_WEIGHT = 1.4;

    /** Share of the maximum output that answers are assumed to have until some have been seen. */
    private static final double INITIAL_OUTPUT_SHARE = 0.5;

    private static final double OUTPUT_SHARE_SMOOTHING = 0.03;

    /** Runner time per second below which a model's averages are dropped. */
    private static final double MIN_RETAINED_WORK_MILLIS_PER_SECOND = 0.5;

    /** A refused request counts as half a request, because the callers of these sites repeat it once. */
    private static final double REFUSED_REQUEST_WEIGHT = 0.5;

    private record DemandKey(String service, String model, String adapter) {}

    private final double prefillTokensPerMilli;
    private final ToIntFunction<String> slots;
    private final MonotonicClock clock;
    private double outputShare = INITIAL_OUTPUT_SHARE;
    private final Map<DemandKey, Double> workMillis = new HashMap<>();
    private final Map<DemandKey, Integer> adaptersInUse = new HashMap<>();
    private final Map<DemandKey, DemandRate> rateByModel = new HashMap<>();

    /**
     * Creates a meter without demand.
     *
     * @param slots returns the number of requests that a runner of a service processes at once
     */
    public DemandMeter(double prefillTokensPerMilli, ToIntFunction<String> slots, MonotonicClock clock) {
        this.slots = slots;
        this.prefillTokensPerMilli = prefillTokensPerMilli;
        this.clock = clock;
    }

    /**
     * Adds a request.
     *
     * @param uncachedTokens prompt tokens that are probably not in the runner's prefix cache
     */
    public void add(String service, GenerationRequest request, int uncachedTokens) {
        addWork(service, request, workMillis(service, request, uncachedTokens));
    }

    /** Adds a refused request with half its work, because its caller usually repeats it once. */
    public void addRefused(String service, GenerationRequest request) {
        List<PromptPart> parts = request.parts();
        int lastPartTokens = parts.isEmpty()
                ? request.promptTokens()
                : parts.get(parts.size() - 1).tokens();
        addWork(service, request, REFUSED_REQUEST_WEIGHT * workMillis(service, request, lastPartTokens));
    }

    /**
     * Returns the share of a runner's time that a request takes: a runner reads one prompt at a time, and has a request for its
     * whole duration in one of its slots. The scarcer of both counts.
     */
    private double workMillis(String service, GenerationRequest request, int uncachedTokens) {
        double prefillMillis = uncachedTokens / prefillTokensPerMilli;
        double durationMillis = prefillMillis + request.maxOutputTokens() * STEP_MILLIS * outputShare;
        return Math.max(PREFILL_WEIGHT * prefillMillis, durationMillis / Math.max(1, slots.applyAsInt(service)));
    }

    private void addWork(String service, GenerationRequest request, double work) {
        workMillis.merge(new DemandKey(service, request.model(), request.adapter()), work, Double::sum);
        rateByModel
                .computeIfAbsent(new DemandKey(service, request.model(), ""), key -> new DemandRate(clock))
                .add(work);
    }

    /**
     * Records a complete answer, from which the usual share of the maximum output follows.
     *
     * @param outputMillis time from the first to the last event
     */
    public void answered(GenerationRequest request, long outputMillis) {
        double maxMillis = request.maxOutputTokens() * STEP_MILLIS;
        if (maxMillis > 0) {
            outputShare += OUTPUT_SHARE_SMOOTHING * (Math.min(1, outputMillis / maxMillis) - outputShare);
        }
    }

    /** Records that a request was sent to a runner; its adapter is in use until {@link #requestEnded}. */
    public void requestSent(String service, GenerationRequest request) {
        if (!request.adapter().isEmpty()) {
            adaptersInUse.merge(new DemandKey(service, request.model(), request.adapter()), 1, Integer::sum);
        }
    }

    /** Records that a sent request has ended. */
    public void requestEnded(String service, GenerationRequest request) {
        adaptersInUse.computeIfPresent(
                new DemandKey(service, request.model(), request.adapter()),
                (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the average demand of the last seconds, for a placement holder that has not received it in reports. */
    public List<ResidencyMessages.DemandAverages> history() {
        rateByModel.values().removeIf(rate -> rate.slowPerSecond() < MIN_RETAINED_WORK_MILLIS_PER_SECOND);
        List<ResidencyMessages.DemandAverages> history = new ArrayList<>();
        rateByModel.forEach((key, rate) -> history.add(new ResidencyMessages.DemandAverages(
                key.service(), key.model(), rate.fastPerSecond(), rate.slowPerSecond())));
        return history;
    }

    /** Returns and clears the demand since the last call, with an entry of 0 for each adapter that is only in use. */
    public List<ResidencyMessages.Demand> takeDemand() {
        adaptersInUse.keySet().forEach(key -> workMillis.putIfAbsent(key, 0.0));
        List<ResidencyMessages.Demand> demand = new ArrayList<>();
        workMillis.forEach((key, work) ->
                demand.add(new ResidencyMessages.Demand(key.service(), key.model(), key.adapter(), work)));
        workMillis.clear();
        return demand;
    }
}
