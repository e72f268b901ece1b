package org.agatehatch.standins.weights;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.standins.http.Call;
import org.agatehatch.standins.http.FaultBox;
import org.agatehatch.standins.http.HttpListener;
import org.agatehatch.standins.http.Json;
import org.agatehatch.standins.http.Responses;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Serves the rate-limited weight store over HTTP. A load is answered when it is done. */
public final class WeightStoreStandIn implements AutoCloseable {
    private static final String NAME = "weight-store";
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Duration TICK = Duration.ofMillis(10);

    private final LoadQueue queue = new LoadQueue();
    private final MonotonicClock clock;
    private final double timeScale;
    private final FaultBox<WeightStoreFaults> faults;
    private final HttpListener listener;
    private final Cancellable ticker;
    private long lastTickNanos;
    private long completed;
    private long failed;

    public WeightStoreStandIn(
            ClassicActorSystemProvider system,
            String host,
            int port,
            double timeScale,
            WeightStoreFaults initialFaults,
            MonotonicClock clock) {
        this.clock = clock;
        this.timeScale = timeScale;
        this.faults = new FaultBox<>(WeightStoreFaults.class, initialFaults);
        this.lastTickNanos = clock.nanos();
        this.listener = new HttpListener(system, NAME, host, port, faults, this::handle).start();
        this.ticker = system.classicSystem()
                .scheduler()
                .scheduleWithFixedDelay(
                        TICK, TICK, this::tick, system.classicSystem().dispatcher());
    }

    /** Returns the base address. */
    public String baseUri() {
        return listener.baseUri();
    }

    /** Returns the faults in force, to read or change. */
    public FaultBox<WeightStoreFaults> faults() {
        return faults;
    }

    @Override
    public void close() {
        ticker.cancel();
        listener.close();
    }

    private CompletionStage<HttpResponse> handle(Call call) {
        return switch (call.target()) {
            case "GET /loads" -> Responses.now(Responses.ok(figures()));
            case "POST /loads" -> {
                LoadRequest request = Json.read(call.body(), LoadRequest.class);
                yield faults.get().outage() ? Responses.now(outage()) : load(request);
            }
            default -> Responses.now(Responses.notFound(call, NAME));
        };
    }

    private CompletionStage<HttpResponse> load(LoadRequest request) {
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        synchronized (this) {
            advance().forEach(Runnable::run);
            long startedNanos = clock.nanos();
            queue.add((double) faults.get().loadMillis(), () -> finish(request, startedNanos, answer));
        }
        return answer;
    }

    private void finish(LoadRequest request, long startedNanos, CompletableFuture<HttpResponse> answer) {
        if (faults.get().failedLoads().fires()) {
            failed++;
            String message = "the load of " + request.model() + " failed; order it again";
            answer.completeAsync(
                    () -> Responses.error(500, "load_failed", "load", NAME, Outcome.RAN, message), listener.executor());
            return;
        }
        completed++;
        ObjectNode body = Json.object();
        body.put("model", request.model());
        body.put("version", request.version());
        body.put("load_ms", Math.round((double) (clock.nanos() - startedNanos) / NANOS_PER_MILLI * timeScale));
        answer.completeAsync(() -> Responses.ok(body), listener.executor());
    }

    private synchronized ObjectNode figures() {
        LoadQueue.Figures now = queue.figures();
        ObjectNode body = Json.object();
        body.put("waiting", now.waiting());
        body.put("in_flight", now.inFlight());
        body.put("started", now.started());
        body.put("completed", completed);
        body.put("failed", failed);
        body.put("most_in_flight", now.mostInFlight());
        return body;
    }

    private synchronized void tick() {
        if (!faults.get().frozen()) {
            advance().forEach(Runnable::run);
        }
    }

    private List<Runnable> advance() {
        long now = clock.nanos();
        double elapsedMillis = (now - lastTickNanos) / NANOS_PER_MILLI * timeScale;
        lastTickNanos = now;
        WeightStoreFaults rates = faults.get();
        return queue.advance(elapsedMillis, rates.loadsPerSecond(), rates.fullSpeedLoads());
    }

    private static HttpResponse outage() {
        return Responses.refusal(503, "weight_store_outage", "load", NAME, "the weight store is down; try later");
    }
}
