package org.agatehatch.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.standins.http.Call;
import org.agatehatch.standins.http.FaultBox;
import org.agatehatch.standins.http.HttpListener;
import org.agatehatch.standins.http.Json;
import org.agatehatch.standins.http.Responses;
import org.agatehatch.standins.weights.WeightLoader;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves one model engine over HTTP. All computing is done by one scheduler tick, without a thread for a request. */
public final class EngineStandIn implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(EngineStandIn.class);
    // Pekko's scheduler has a resolution of 10 ms, so a shorter tick would gain nothing.
    private static final Duration TICK = Duration.ofMillis(10);
    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final long CACHE_EVENT_POLL_MILLIS = 20;

    /** The answer to the change that asks for a crash must leave before the connections are cut, also on a busy machine. */
    private static final long CRASH_DELAY_MILLIS = 200;

    private static final double BYTES_PER_MIB = 1 << 20;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String ATTEMPT_PATH = "/v1/attempts/";

    private final ClassicActorSystemProvider system;
    private final EngineSettings settings;
    private final AdapterLoads adapterLoads;
    private final WeightLoader weightLoader;
    private final MonotonicClock clock;
    private final AttemptLog attempts = new AttemptLog();
    private final FaultBox<EngineFaults> faults;
    private final OrderIntake orders;
    private final HttpListener listener;
    private final Cancellable ticker;
    private volatile EngineProcess process;
    private long epochNumber;

    public EngineStandIn(
            ClassicActorSystemProvider system,
            String host,
            int port,
            EngineSettings settings,
            EngineFaults initialFaults,
            AdapterLoads adapterLoads,
            WeightLoader weightLoader,
            MonotonicClock clock) {
        this.system = system;
        this.settings = settings;
        this.adapterLoads = adapterLoads;
        this.weightLoader = weightLoader;
        this.clock = clock;
        this.faults = new FaultBox<>(EngineFaults.class, initialFaults);
        this.process = newProcess();
        this.listener = new HttpListener(system, settings.name(), host, port, faults, this::handle);
        this.orders = new OrderIntake(faults::get, listener::delayed);
        listener.start();
        faults.onChange(this::faultsChanged);
        this.ticker = system.classicSystem()
                .scheduler()
                .scheduleWithFixedDelay(
                        TICK, TICK, this::tick, system.classicSystem().dispatcher());
    }

    /** Returns the engine's name. */
    public String name() {
        return settings.name();
    }

    /** Returns the engine's hardware and properties. */
    public EngineSettings settings() {
        return settings;
    }

    /** Returns the base address. */
    public String baseUri() {
        return listener.baseUri();
    }

    /** Returns host and port. */
    public String hostAndPort() {
        return listener.hostAndPort();
    }

    /** Returns the faults in force, to read or change. */
    public FaultBox<EngineFaults> faults() {
        return faults;
    }

    /** Returns what became of the newest attempts, over all epochs. */
    public List<AttemptLog.Entry> attempts() {
        return attempts.entries();
    }

    /** Returns what is resident now. */
    public EngineInventory inventory() {
        return process.inventory();
    }

    /** Gives an order without HTTP and its faults, to set up a test. */
    public Optional<OrderReply> order(EngineOrder order) {
        return process.order(order);
    }

    /** Ends the process as if it had died: its memory is empty, its connections are cut, and its epoch changes. */
    public CompletionStage<Void> crash() {
        return listener.crash(faults.get().restartMillis(), this::replaceProcess);
    }

    @Override
    public void close() {
        ticker.cancel();
        listener.close();
        process.kill();
    }

    private void replaceProcess() {
        EngineProcess old;
        synchronized (this) {
            old = process;
            process = newProcess();
        }
        old.kill();
    }

    private synchronized EngineProcess newProcess() {
        epochNumber++;
        String epoch = settings.name() + "-" + epochNumber;
        return new EngineProcess(epoch, settings, faults::get, adapterLoads, weightLoader, clock, attempts);
    }

    private void tick() {
        try {
            if (process.tick()) {
                crash();
            }
        } catch (RuntimeException e) {
            // The scheduler stops a task that throws, and the engine would never compute again.
            log.error("a tick of {} failed", name(), e);
        }
    }

    private void faultsChanged(EngineFaults changed) {
        if (changed.crashNow()) {
            faults.merge(Json.object().put("crash_now", false));
            listener.delayed(CRASH_DELAY_MILLIS).execute(this::crash);
        }
    }

    private CompletionStage<HttpResponse> handle(Call call) {
        if (call.method().equals("DELETE") && call.path().startsWith(ATTEMPT_PATH)) {
            return Responses.now(cancel(call.path().substring(ATTEMPT_PATH.length())));
        }
        EngineProcess current = process;
        return switch (call.target()) {
            case "POST /v1/chat/completions" -> infer(call, true, current);
            case "POST /v1/completions" -> infer(call, false, current);
            case "POST /engine/orders" ->
                orders.receive(Json.read(call.body(), EngineOrder.class), current, call.connection());
            case "POST /engine/kv/export" -> exportKv(call, current);
            case "POST /engine/kv/import" -> importKv(call, current);
            case "GET /engine/cache-events" -> cacheEvents(call, current);
            default -> Responses.now(report(call, current));
        };
    }

    private HttpResponse report(Call call, EngineProcess current) {
        return switch (call.target()) {
            case "GET /engine/load" -> Responses.ok(current.load());
            case "GET /engine/inventory" -> Responses.ok(current.inventory());
            case "GET /engine/cache-snapshot" -> Responses.ok(current.cacheSnapshot());
            case "GET /runs" -> Responses.ok(Map.of("attempts", attempts.entries()));
            case "GET /health" ->
                Responses.ok(Map.of(
                        "name",
                        name(),
                        "epoch",
                        current.epoch(),
                        "leaving",
                        faults.get().leaving()));
            default -> Responses.notFound(call, name());
        };
    }

    private CompletionStage<HttpResponse> infer(Call call, boolean chat, EngineProcess current) {
        InferenceRequest request = InferenceRequest.parse(call, chat);
        CompletionStage<HttpResponse> response;
        TokenSink sink;
        if (request.stream()) {
            StreamSink stream = new StreamSink(
                    system,
                    request,
                    name(),
                    current.epoch(),
                    call.connection(),
                    faults::get,
                    current::otherThan,
                    listener.executor());
            sink = stream;
            response = stream.response();
        } else {
            WholeSink whole = new WholeSink(
                    request,
                    name(),
                    current.epoch(),
                    call.connection(),
                    faults::get,
                    current::otherThan,
                    listener.executor());
            sink = whole;
            response = whole.response();
        }
        Optional<EngineProcess.Refusal> refusal = current.submit(request, sink);
        if (refusal.isPresent()) {
            HttpResponse refused = Responses.refusal(
                    refusal.get().status(),
                    refusal.get().code(),
                    "admit",
                    name(),
                    refusal.get().message());
            return Responses.now(Answer.identified(refused, request.attempt(), current.epoch()));
        }
        call.connection().onClose(() -> current.cancel(request.attempt()));
        return response;
    }

    private HttpResponse cancel(String attempt) {
        EngineProcess current = process;
        Optional<String> state = current.cancel(attempt);
        if (state.isEmpty()) {
            return Responses.error(
                    404,
                    "attempt_unknown",
                    "cancel",
                    name(),
                    Outcome.UNKNOWN,
                    "attempt " + attempt + " was not received in epoch " + current.epoch() + ", or is forgotten");
        }
        HttpResponse response = Responses.ok(Map.of("attempt", attempt, "state", state.get()));
        return state.get().equals(Outcome.NOT_RUN.wireName())
                ? Responses.withOutcome(response, Outcome.NOT_RUN)
                : response;
    }

    private CompletionStage<HttpResponse> cacheEvents(Call call, EngineProcess current) {
        long from = call.longParameter("from", 0, 0, Long.MAX_VALUE);
        long waitMillis = call.longParameter("wait_ms", 0, 0, MAX_WAIT_MILLIS);
        return cacheEvents(current, from, clock.nanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis));
    }

    private CompletionStage<HttpResponse> cacheEvents(EngineProcess current, long from, long deadlineNanos) {
        CacheEvents.Page page = current.cacheEvents(from);
        if (!page.events().isEmpty() || clock.nanos() >= deadlineNanos) {
            return Responses.now(Responses.ok(page));
        }
        return CompletableFuture.supplyAsync(() -> from, listener.delayed(CACHE_EVENT_POLL_MILLIS))
                .thenCompose(again -> cacheEvents(current, again, deadlineNanos));
    }

    private CompletionStage<HttpResponse> exportKv(Call call, EngineProcess current) {
        JsonNode body = call.json();
        List<String> blocks = new ArrayList<>();
        body.path("blocks").forEach(block -> blocks.add(block.asText()));
        checkBlocks(blocks);
        Optional<KvState> state = current.exportKv(body.path("model").asText(), blocks);
        if (state.isEmpty()) {
            String message = "the first block is not cached on " + name() + "; compute the prompt instead";
            return Responses.now(Responses.refusal(404, "blocks_not_cached", "export", name(), message));
        }
        return afterTransfer(state.get().bytes(), () -> Responses.ok(state.get()));
    }

    private CompletionStage<HttpResponse> importKv(Call call, EngineProcess current) {
        KvState state = Json.read(call.body(), KvState.class);
        checkBlocks(state.blocks());
        if (!state.isValid()) {
            String message = "the state does not belong to these blocks; send the export's answer unchanged";
            return Responses.now(Responses.refusal(400, "invalid_kv_state", "import", name(), message));
        }
        long bytes = state.blocks().size() * settings.kvBytesPerBlock();
        return afterTransfer(
                bytes,
                () -> current.importKv(state)
                        .map(blocks -> Responses.ok(Map.of("imported_blocks", blocks)))
                        .orElseGet(() -> Responses.refusal(
                                404,
                                "model_not_resident",
                                "import",
                                name(),
                                "model " + state.residentModel() + " is not ready on " + name())));
    }

    private CompletionStage<HttpResponse> afterTransfer(long bytes, Supplier<HttpResponse> answer) {
        double millis = bytes / BYTES_PER_MIB / settings.kvLinkMibPerSecond() * MILLIS_PER_SECOND;
        long realMillis = Math.round(millis / settings.speed().timeScale());
        return CompletableFuture.supplyAsync(answer, listener.delayed(realMillis));
    }

    private static void checkBlocks(List<String> blocks) {
        if (blocks.isEmpty()) {
            throw Call.invalid("field blocks is missing or empty; send a list of block hashes");
        }
        try {
            blocks.forEach(PromptBlocks::parse);
        } catch (IllegalArgumentException e) {
            throw Call.invalid("field blocks is wrong: " + e.getMessage());
        }
    }
}
