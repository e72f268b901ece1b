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
    private static final double LEAST_PER_SECOND = 0.5;

    /** Callers of these sites repeat a refused request once. */
    private static final double REFUSED_PART = 0.5;

    private record Subject(String service, String model, String adapter) {}

    private final double prefillTokensPerMilli;
    private final MonotonicClock clock;
    private final Map<Subject, Double> workMillis = new HashMap<>();
    private final Map<Subject, Integer> inUse = new HashMap<>();
    private final Map<Subject, DemandRate> rates = new HashMap<>();

    public DemandMeter(double prefillTokensPerMilli, MonotonicClock clock) {
        this.prefillTokensPerMilli = prefillTokensPerMilli;
        this.clock = clock;
    }

    /**
     * Adds a request.
     *
     * @param tokensToRead prompt tokens that are probably not kept
     */
    public void add(String service, GenerationRequest request, int tokensToRead) {
        addWork(service, request, workMillis(request, tokensToRead));
    }

    /** Adds a request that was refused. Its caller usually comes back once, so that each refusal counts as half of one. */
    public void addRefused(String service, GenerationRequest request) {
        List<PromptPart> parts = request.parts();
        int ownTokens = parts.isEmpty()
                ? request.promptTokens()
                : parts.get(parts.size() - 1).tokens();
        addWork(service, request, REFUSED_PART * workMillis(request, ownTokens));
    }

    private double workMillis(GenerationRequest request, int tokensToRead) {
        return tokensToRead / prefillTokensPerMilli + request.maxOutputTokens() * MILLIS_PER_OUTPUT_TOKEN;
    }

    private void addWork(String service, GenerationRequest request, double work) {
        workMillis.merge(new Subject(service, request.model(), request.adapter()), work, Double::sum);
        rates.computeIfAbsent(new Subject(service, request.model(), ""), subject -> new DemandRate(clock))
                .add(work);
    }

    /** Notes that a request for a generation was sent; its adapter is in use until {@link #ended}. */
    public void sent(String service, GenerationRequest request) {
        if (!request.adapter().isEmpty()) {
            inUse.merge(new Subject(service, request.model(), request.adapter()), 1, Integer::sum);
        }
    }

    /** Notes that a request that was sent has ended. */
    public void ended(String service, GenerationRequest request) {
        inUse.computeIfPresent(
                new Subject(service, request.model(), request.adapter()),
                (subject, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the work of the last seconds, for a node that has not had it in reports. */
    public List<ResidencyMessages.Rate> history() {
        rates.values().removeIf(rate -> rate.slowPerSecond() < LEAST_PER_SECOND);
        List<ResidencyMessages.Rate> history = new ArrayList<>();
        rates.forEach((subject, rate) -> history.add(new ResidencyMessages.Rate(
                subject.service(), subject.model(), rate.fastPerSecond(), rate.slowPerSecond())));
        return history;
    }

    /** Returns what was added since the last call, and the adapters in use. */
    public List<ResidencyMessages.Demand> take() {
        inUse.keySet().forEach(subject -> workMillis.putIfAbsent(subject, 0.0));
        List<ResidencyMessages.Demand> taken = new ArrayList<>();
        workMillis.forEach((subject, work) ->
                taken.add(new ResidencyMessages.Demand(subject.service(), subject.model(), subject.adapter(), work)));
        workMillis.clear();
        return taken;
    }
}
