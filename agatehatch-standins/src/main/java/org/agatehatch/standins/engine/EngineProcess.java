package org.agatehatch.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.standins.weights.LoadRequest;
import org.agatehatch.standins.weights.WeightLoader;

/**
 * One lifetime of an engine process, from its start to its crash. Every method takes the process's lock; a dead process
 * changes nothing any more.
 */
final class EngineProcess {
    private static final double NANOS_PER_MILLI = 1e6;
    /** A longer pause of the stand-in itself must not let the engine compute a burst. */
    private static final double MAX_TICK_MILLIS = 250;

    private final String epoch;
    private final EngineSettings settings;
    private final Supplier<EngineFaults> faults;
    private final WeightLoader weightLoader;
    private final MonotonicClock clock;
    private final AttemptLog attempts;
    private final Residency residency;
    private final PrefixCache cache;
    private final CacheEvents cacheEvents = new CacheEvents();
    private final Adapters adapters;
    private final Map<String, String> adapterBases = new TreeMap<>();
    private final BatchScheduler scheduler;
    private final LoadHistory loads = new LoadHistory();
    private long lastTickNanos;
    private final long startedAtMillis;
    private long arrivals;
    private long loadSequence;
    private boolean crashing;
    private boolean dead;

    EngineProcess(
            String epoch,
            EngineSettings settings,
            Supplier<EngineFaults> faults,
            AdapterLoads adapterLoads,
            WeightLoader weightLoader,
            MonotonicClock clock,
            AttemptLog attempts) {
        this.epoch = epoch;
        this.settings = settings;
        this.faults = faults;
        this.weightLoader = weightLoader;
        this.clock = clock;
        this.attempts = attempts;
        this.residency = new Residency(epoch, settings, this::startLoad, this::modelGone);
        this.cache = new PrefixCache(settings.cacheBlocks(), this::cacheChanged);
        this.adapters = new Adapters(settings.adapterSlots(), adapterLoads);
        this.scheduler = new BatchScheduler(settings.speed(), cache, adapters, new AttemptEvents());
        this.lastTickNanos = clock.nanos();
        this.startedAtMillis = nowMillis();
        sampleLoad();
    }

    /** Why a request was refused. All refusals prove that it did not run. */
    record Refusal(int status, String code, String message) {}

    /** All cached blocks, with the field names of the protocol. */
    record CacheSnapshot(String runnerEpoch, long nextSequence, List<CachedModel> models) {}

    /** Cached blocks of one model. */
    record CachedModel(String model, List<String> blocks) {}

    String epoch() {
        return epoch;
    }

    synchronized Optional<Refusal> submit(InferenceRequest request, TokenSink sink) {
        arrivals++;
        if (attempts.find(epoch, request.attempt()).isPresent()) {
            return refuse(409, "attempt_exists", "attempt " + request.attempt() + " was sent before; use a new id");
        }
        if (faults.get().leaving()) {
            return refuse(503, "leaving", settings.name() + " is leaving; send the request to another runner");
        }
        if (faults.get().refusedRequests().fires()) {
            return refuse(429, "queue_full", settings.name() + " refuses requests; send it later or elsewhere");
        }
        Optional<Residency.Resident> resident = residency.acquire(request.residentModel(), request.version());
        if (resident.isEmpty()) {
            return refuse(
                    404,
                    "model_not_resident",
                    "model " + request.residentModel()
                            + request.version()
                                    .map(version -> " version " + version)
                                    .orElse("")
                            + " is not ready on " + settings.name() + "; see GET /engine/inventory");
        }
        request.adapter().ifPresent(adapter -> adapterBases.put(adapter, request.residentModel()));
        if (!scheduler.offer(new Attempt(request, sink, arrivals, resident.get()))) {
            residency.release(resident.get());
            return refuse(429, "queue_full", "the queue of " + settings.name() + " is full; send it later");
        }
        attempts.put(epoch, request, "queued", request.firstIndex());
        return Optional.empty();
    }

    /** Stops an attempt and returns its state; empty if it is not known. */
    synchronized Optional<String> cancel(String attemptId) {
        Optional<Attempt> attempt = dead ? Optional.empty() : scheduler.find(attemptId);
        if (attempt.isPresent()) {
            boolean ran = attempt.get().isRunning();
            scheduler.remove(attempt.get());
            attempt.get().sink().cancel(ran);
            ended(attempt.get(), ran ? "cancelled" : "not_run");
        }
        return attempts.find(epoch, attemptId).map(AttemptLog.Entry::state);
    }

    synchronized Optional<InferenceRequest> otherThan(InferenceRequest request) {
        return scheduler.otherThan(request);
    }

    /** Moves time on; returns true if the engine is to crash. */
    synchronized boolean tick() {
        long now = clock.nanos();
        double elapsedMillis = Math.min(MAX_TICK_MILLIS, (now - lastTickNanos) / NANOS_PER_MILLI);
        lastTickNanos = now;
        EngineFaults current = faults.get();
        if (dead || current.frozen()) {
            return false;
        }
        scheduler.advance(elapsedMillis * settings.speed().timeScale(), current.slowdown(), residency.role());
        if (loads.isDue(nowMillis())) {
            sampleLoad();
        }
        return crashing;
    }

    /** Ends the process; its attempts are lost. */
    synchronized void kill() {
        dead = true;
        scheduler.forEach(attempt -> attempts.put(epoch, attempt.request(), "crashed", attempt.nextIndex()));
        adapters.clear();
    }

    /** Carries out an order; empty if the process is dead. */
    synchronized Optional<OrderReply> order(EngineOrder order) {
        return dead
                ? Optional.empty()
                : Optional.of(residency.apply(order, faults.get().leaving()));
    }

    synchronized EngineInventory inventory() {
        return residency.inventory(faults.get().leaving());
    }

    synchronized LoadReport load() {
        return loads.read(nowMillis(), faults.get().loadLagMillis());
    }

    synchronized CacheEvents.Page cacheEvents(long from) {
        return cacheEvents.read(epoch, from, faults.get().cacheEventLagMillis(), nowMillis());
    }

    synchronized CacheSnapshot cacheSnapshot() {
        List<CachedModel> models = new ArrayList<>();
        cache.contents()
                .forEach((model, blocks) -> models.add(new CachedModel(
                        model, blocks.stream().map(PromptBlocks::hex).toList())));
        return new CacheSnapshot(epoch, cacheEvents.nextSequence(), models);
    }

    /** Returns the state of the longest cached run of these blocks; empty if the first one is not cached. */
    synchronized Optional<KvState> exportKv(String model, List<String> blocks) {
        long[] hashes = blocks.stream().mapToLong(PromptBlocks::parse).toArray();
        int cached = cache.use(hashes);
        return cached == 0
                ? Optional.empty()
                : Optional.of(KvState.of(model, blocks.subList(0, cached), settings.kvBytesPerBlock()));
    }

    /** Stores imported blocks and returns their number; empty if the model is not resident. */
    synchronized Optional<Integer> importKv(KvState state) {
        if (dead || !residency.isReady(state.residentModel())) {
            return Optional.empty();
        }
        long[] hashes = state.hashes();
        cache.store(state.model(), hashes);
        return Optional.of(cache.cachedPrefix(hashes));
    }

    private static Optional<Refusal> refuse(int status, String code, String message) {
        return Optional.of(new Refusal(status, code, message));
    }

    private void ended(Attempt attempt, String state) {
        attempts.put(epoch, attempt.request(), state, attempt.nextIndex());
        residency.release(attempt.resident());
    }

    private void startLoad(Residency.Resident resident) {
        LoadRequest request =
                new LoadRequest(settings.name(), resident.model(), resident.version(), resident.memoryMib());
        weightLoader.load(request).whenComplete((done, failure) -> loadEnded(resident, failure == null));
    }

    private synchronized void loadEnded(Residency.Resident resident, boolean success) {
        if (!dead) {
            residency.loadEnded(resident, success);
        }
    }

    private void modelGone(Residency.Resident resident) {
        if (residency.isReady(resident.model())) {
            return; // Another version of the model is still there.
        }
        cache.drop(resident.model());
        adapterBases.forEach((adapter, base) -> {
            if (base.equals(resident.model())) {
                cache.drop(adapter);
            }
        });
    }

    private void cacheChanged(String kind, String model, List<Long> blocks) {
        cacheEvents.add(
                kind, model, blocks, nowMillis(), faults.get().lostCacheEvents().fires());
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanos());
    }

    private void sampleLoad() {
        double realRate = settings.speed().timeScale() / faults.get().slowdown();
        LoadReport report = new LoadReport(
                epoch,
                loadSequence++,
                0,
                scheduler.queuedTokens(),
                scheduler.batchSize(),
                arrivals,
                cache.usedFraction(),
                scheduler.prefillRate(residency.role()) * realRate,
                scheduler.decodeRate(residency.role()) * realRate,
                adapters.loads(),
                adapters.residentNames(),
                nowMillis() - startedAtMillis);
        loads.add(nowMillis(), faults.get().loadLagMillis(), report);
    }

    /** Follows attempts through the batch. */
    private final class AttemptEvents implements BatchScheduler.Events {
        @Override
        public void started(Attempt attempt) {
            attempts.put(epoch, attempt.request(), "running", attempt.nextIndex());
        }

        @Override
        public boolean mayDecode(Attempt attempt) {
            String text = faults.get().crashOnText();
            boolean first = attempt.nextIndex() == attempt.request().firstIndex();
            if (first && !text.isEmpty() && attempt.request().prompt().contains(text)) {
                crashing = true;
            }
            return !crashing;
        }

        @Override
        public void ended(Attempt attempt, String state) {
            EngineProcess.this.ended(attempt, state);
        }
    }
}
