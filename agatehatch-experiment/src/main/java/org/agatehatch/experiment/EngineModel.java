package org.agatehatch.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.internal.connection.CacheEvents;

/** One runner's engine: continuous batching, a prefix cache, adapters, and resident models. */
final class EngineModel {
    private final BackendServer server;
    private final VirtualTime time;
    private final AdapterLoads adapterLoads;
    private final Metrics metrics;
    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>(
            Comparator.<Waiting>comparingInt(w -> -w.job().request.requestClass.priority())
                    .thenComparingLong(Waiting::number));
    private final List<EngineJob> batch = new ArrayList<>();
    private final Map<String, Resident> residents = new TreeMap<>();
    private final LinkedHashMap<String, Boolean> adapters = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, List<EngineJob>> waitingForAdapter = new HashMap<>();
    private final PrefixCache cache = new PrefixCache(EngineRates.CACHE_BLOCKS);
    private final long[] usedMib;
    private long peakMib;
    private int epoch;
    private boolean up = true;
    private boolean stepping;
    private long arrivals;
    private long nextNumber;
    private long reportSequence;
    private long cacheSequence;

    private record Waiting(EngineJob job, long number) {}

    /** A model's memory on this runner. */
    private static final class Resident {
        private final List<Integer> accelerators;
        private final long memoryMib;
        private boolean ready;
        private Runnable unloaded;

        private Resident(List<Integer> accelerators, long memoryMib) {
            this.accelerators = accelerators;
            this.memoryMib = memoryMib;
        }
    }

    /** Prompt tokens of one job that a step computes. */
    private record Chunk(EngineJob job, int tokens) {}

    EngineModel(BackendServer server, VirtualTime time, AdapterLoads adapterLoads, Metrics metrics) {
        this.server = server;
        this.time = time;
        this.adapterLoads = adapterLoads;
        this.metrics = metrics;
        this.usedMib = new long[server.accelerators()];
    }

    BackendServer server() {
        return server;
    }

    boolean up() {
        return up;
    }

    String epoch() {
        return server.name() + "-" + epoch;
    }

    double peakFraction() {
        return (double) peakMib / server.acceleratorMemoryMib();
    }

    /** Takes a model's memory. The load itself is over when {@link #ready} is called. */
    void startLoad(String model, List<Integer> accelerators, long memoryMib) {
        residents.put(model, new Resident(accelerators, memoryMib));
        for (int accelerator : accelerators) {
            usedMib[accelerator] += memoryMib;
            peakMib = Math.max(peakMib, usedMib[accelerator]);
            if (usedMib[accelerator] > server.acceleratorMemoryMib()) {
                throw new IllegalStateException("accelerator " + accelerator + " of " + server.name() + " would hold "
                        + usedMib[accelerator] + " MiB of " + server.acceleratorMemoryMib()
                        + "; the ledger must refuse such a load");
            }
        }
    }

    void ready(String model) {
        Resident resident = residents.get(model);
        if (resident != null) {
            resident.ready = true;
        }
    }

    /** Lets running requests of the model end, then frees its memory. */
    void unload(String model, Runnable done) {
        Resident resident = residents.get(model);
        if (resident == null) {
            done.run();
            return;
        }
        resident.ready = false;
        resident.unloaded = done;
        finishUnloads();
    }

    private void finishUnloads() {
        for (Iterator<Map.Entry<String, Resident>> i = residents.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, Resident> entry = i.next();
            Resident resident = entry.getValue();
            if (resident.unloaded == null || hasJobs(entry.getKey())) {
                continue;
            }
            i.remove();
            resident.accelerators.forEach(accelerator -> usedMib[accelerator] -= resident.memoryMib);
            time.after(0, resident.unloaded);
        }
    }

    private boolean hasJobs(String model) {
        return batch.stream().anyMatch(job -> job.request.entry.residentModel().equals(model))
                || waiting.stream()
                        .anyMatch(w -> w.job().request.entry.residentModel().equals(model));
    }

    void submit(EngineJob job) {
        Resident resident = residents.get(job.request.entry.residentModel());
        if (!up || resident == null || !resident.ready) {
            job.ended = true;
            job.listener.failed(!up);
            return;
        }
        arrivals++;
        waiting.add(new Waiting(job, nextNumber++));
        wake();
    }

    /** Ends the process: jobs break off, and memory and cache are empty. */
    void crash() {
        up = false;
        epoch++;
        stepping = false;
        List<EngineJob> lost = new ArrayList<>(batch);
        waiting.forEach(w -> lost.add(w.job()));
        batch.clear();
        waiting.clear();
        waitingForAdapter.clear();
        residents.clear();
        adapters.clear();
        cache.clear();
        java.util.Arrays.fill(usedMib, 0);
        lost.forEach(job -> {
            job.ended = true;
            job.listener.failed(true);
        });
    }

    void restart() {
        up = true;
        arrivals = 0;
        cacheSequence = 0;
    }

    LoadReport report() {
        long queued = 0;
        int decoding = 0;
        for (Waiting w : waiting) {
            queued += w.job().promptLeft;
        }
        for (EngineJob job : batch) {
            queued += job.promptLeft;
            decoding += job.promptLeft == 0 ? 1 : 0;
        }
        return new LoadReport(
                epoch(),
                ++reportSequence,
                0,
                queued,
                batch.size(),
                arrivals,
                (double) cache.content().size() / EngineRates.CACHE_BLOCKS,
                EngineRates.prefillTokensPerSecond(decoding),
                1_000 / EngineRates.stepMillis(decoding, 0),
                waitingForAdapter.size(),
                Set.copyOf(adapters.keySet()));
    }

    CacheEvents cacheSnapshot() {
        return CacheEvents.snapshot(epoch(), cacheSequence, cache.content());
    }

    CacheEvents cacheChange() {
        return CacheEvents.change(epoch(), ++cacheSequence, cache.takeAdded(), cache.takeRemoved());
    }

    private void wake() {
        if (!stepping && up) {
            stepping = true;
            step();
        }
    }

    private void step() {
        admit();
        List<Chunk> chunks = chunks();
        List<EngineJob> decoding = batch.stream()
                .filter(job -> job.adapterReady && job.promptLeft == 0)
                .toList();
        int promptTokens = chunks.stream().mapToInt(Chunk::tokens).sum();
        if (chunks.isEmpty() && decoding.isEmpty()) {
            stepping = false;
            return;
        }
        int startedIn = epoch;
        time.after(EngineRates.stepMillis(decoding.size(), promptTokens), () -> {
            if (epoch == startedIn) {
                endStep(chunks, decoding);
            }
        });
    }

    private void admit() {
        while (batch.size() < EngineRates.MAX_BATCH && !waiting.isEmpty()) {
            EngineJob job = waiting.poll().job();
            batch.add(job);
            int cachedTokens = cache.leading(job.request.promptBlocks) * EngineRates.TOKENS_PER_BLOCK;
            // The last prompt token is always computed, since the first answer token follows from it.
            job.promptLeft = Math.max(1, job.promptLeft - cachedTokens);
            job.adapterReady = job.request.adapter().isEmpty();
            job.request.adapter().ifPresent(adapter -> requireAdapter(job, adapter));
        }
    }

    private void requireAdapter(EngineJob job, String adapter) {
        if (adapters.get(adapter) != null) {
            job.adapterReady = true;
            return;
        }
        List<EngineJob> others = waitingForAdapter.get(adapter);
        if (others != null) {
            others.add(job);
            return;
        }
        waitingForAdapter.put(adapter, new ArrayList<>(List.of(job)));
        int startedIn = epoch;
        adapterLoads.load(() -> {
            if (epoch != startedIn) {
                return;
            }
            adapters.put(adapter, true);
            if (adapters.size() > EngineRates.MAX_ADAPTERS) {
                adapters.remove(adapters.keySet().iterator().next());
            }
            waitingForAdapter.remove(adapter).forEach(waiter -> waiter.adapterReady = true);
            wake();
        });
    }

    private List<Chunk> chunks() {
        List<EngineJob> prefilling = batch.stream()
                .filter(job -> job.adapterReady && job.promptLeft > 0)
                .sorted(Comparator.comparingInt(job -> -job.request.requestClass.priority()))
                .toList();
        List<Chunk> chunks = new ArrayList<>();
        int budget = EngineRates.PREFILL_CHUNK_TOKENS;
        for (EngineJob job : prefilling) {
            if (budget == 0) {
                break;
            }
            int tokens = Math.min(budget, job.promptLeft);
            chunks.add(new Chunk(job, tokens));
            budget -= tokens;
        }
        return chunks;
    }

    private void endStep(List<Chunk> chunks, List<EngineJob> decoding) {
        int sharing = decoding.isEmpty() ? chunks.size() : decoding.size();
        double basePart = EngineRates.STEP_BASE_MILLIS / sharing;
        for (EngineJob job : decoding) {
            metrics.engineTime(job.request.entry.owner(), basePart + EngineRates.STEP_PER_REQUEST_MILLIS);
            if (job.emit(time.nanos())) {
                finish(job);
            }
        }
        for (Chunk chunk : chunks) {
            EngineJob job = chunk.job();
            double chunkMillis = chunk.tokens() / EngineRates.PREFILL_TOKENS_PER_MILLI;
            metrics.engineTime(job.request.entry.owner(), chunkMillis + (decoding.isEmpty() ? basePart : 0));
            job.promptLeft -= chunk.tokens();
            if (job.promptLeft == 0) {
                cache.insert(job.request.promptBlocks);
                boolean last = job.emit(time.nanos());
                job.listener.firstToken();
                if (last) {
                    finish(job);
                }
            }
        }
        finishUnloads();
        step();
    }

    private void finish(EngineJob job) {
        job.ended = true;
        batch.remove(job);
        job.listener.finished();
    }
}
