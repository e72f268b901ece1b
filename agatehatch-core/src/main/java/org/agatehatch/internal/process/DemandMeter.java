package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PromptPart;
import org.agatehatch.api.time.MonotonicClock;

/** Adds up the work that this node's requests ask of models, until it is reported. Not safe for use by several threads. */
public final class DemandMeter {
    /** Runner time that an output token takes beside those of the other requests in a batch. */
    private static final double MILLIS_PER_OUTPUT_TOKEN = 0.35;

    /** Work a second, in milliseconds, below which a model is no longer remembered. */
    private static final double MIN_RETAINED_WORK_MILLIS_PER_SECOND = 0.5;

    /** Callers of these sites repeat a refused request once. */
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
     * @param tokensToRead prompt tokens that are probably not kept
     */
    public void add(String service, GenerationRequest request, int uncachedTokens) {
        addWork(service, request, workMillis(request, uncachedTokens));
    }

    /** Adds a request that was refused. Its caller usually comes back once, so that each refusal counts as half of one. */
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
        rateByModel.computeIfAbsent(new DemandKey(service, request.model(), ""), key -> new DemandRate(clock))
                .add(work);
    }

    /** Notes that a request for a generation was sent; its adapter is in use until {@link #ended}. */
    public void requestSent(String service, GenerationRequest request) {
        if (!request.adapter().isEmpty()) {
            adaptersInUse.merge(new DemandKey(service, request.model(), request.adapter()), 1, Integer::sum);
        }
    }

    /** Notes that a request that was sent has ended. */
    public void requestEnded(String service, GenerationRequest request) {
        adaptersInUse.computeIfPresent(
                new DemandKey(service, request.model(), request.adapter()),
                (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the work of the last seconds, for a node that has not had it in reports. */
    public List<ResidencyMessages.DemandAverages> history() {
        rateByModel.values().removeIf(rate -> rate.slowPerSecond() < MIN_RETAINED_WORK_MILLIS_PER_SECOND);
        List<ResidencyMessages.DemandAverages> history = new ArrayList<>();
        rateByModel.forEach((key, rate) -> history.add(new ResidencyMessages.DemandAverages(
                key.service(), key.model(), rate.fastPerSecond(), rate.slowPerSecond())));
        return history;
    }

    /** Returns what was added since the last call, and the adapters in use. */
    public List<ResidencyMessages.Demand> takeDemand() {
        adaptersInUse.keySet().forEach(key -> workMillis.putIfAbsent(key, 0.0));
        List<ResidencyMessages.Demand> demand = new ArrayList<>();
        workMillis.forEach((key, work) ->
                demand.add(new ResidencyMessages.Demand(key.service(), key.model(), key.adapter(), work)));
        workMillis.clear();
        return demand;
    }
}
