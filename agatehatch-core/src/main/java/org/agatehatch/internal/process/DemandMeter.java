package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PromptPart;
import org.agatehatch.api.time.MonotonicClock;

/** Accumulates the demand of this node's requests for models until it is reported. Not thread-safe. */
public final class DemandMeter {
    /** Runner time for one output token when the runner generates the tokens of a whole batch at once. */
    private static final double MILLIS_PER_OUTPUT_TOKEN = 0.35;

    /** Runner time per second below which a model's averages are dropped. */
    private static final double MIN_RETAINED_WORK_MILLIS_PER_SECOND = 0.5;

    /** A refused request counts as half a request, because the callers of these sites repeat it once. */
    private static final double REFUSED_REQUEST_WEIGHT = 0.5;

    private record DemandKey(String service, String model, String adapter) {}

    private final double prefillTokensPerMilli;
    private final MonotonicClock clock;
    private final Map<DemandKey, Double> workMillis = new HashMap<>();
    private final Map<DemandKey, Integer> adaptersInUse = new HashMap<>();
    private final Map<DemandKey, DemandRate> rateByModel = new HashMap<>();

    public DemandMeter(double prefillTokensPerMilli, MonotonicClock clock) {
        this.prefillTokensPerMilli = prefillTokensPerMilli;
        this.clock = clock;
    }

    /**
     * Adds a request.
     *
     * @param uncachedTokens prompt tokens that are probably not in the runner's prefix cache
     */
    public void add(String service, GenerationRequest request, int uncachedTokens) {
        addWork(service, request, workMillis(request, uncachedTokens));
    }

    /** Adds a refused request with half its work, because its caller usually repeats it once. */
    public void addRefused(String service, GenerationRequest request) {
        List<PromptPart> parts = request.parts();
        int lastPartTokens = parts.isEmpty()
                ? request.promptTokens()
                : parts.get(parts.size() - 1).tokens();
        addWork(service, request, REFUSED_REQUEST_WEIGHT * workMillis(request, lastPartTokens));
    }

    private double workMillis(GenerationRequest request, int uncachedTokens) {
        return uncachedTokens / prefillTokensPerMilli + request.maxOutputTokens() * MILLIS_PER_OUTPUT_TOKEN;
    }

    private void addWork(String service, GenerationRequest request, double work) {
        workMillis.merge(new DemandKey(service, request.model(), request.adapter()), work, Double::sum);
        rateByModel
                .computeIfAbsent(new DemandKey(service, request.model(), ""), key -> new DemandRate(clock))
                .add(work);
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
