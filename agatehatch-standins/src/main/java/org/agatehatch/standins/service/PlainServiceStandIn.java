package org.agatehatch.standins.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.agatehatch.standins.http.Call;
import org.agatehatch.standins.http.FaultBox;
import org.agatehatch.standins.http.HttpListener;
import org.agatehatch.standins.http.Json;
import org.agatehatch.standins.http.Responses;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** Serves orders or bookings that echo their body, and counts what truly ran. It removes no duplicates. */
public final class PlainServiceStandIn implements AutoCloseable {
    private static final Set<String> READS = Set.of("GET", "HEAD", "OPTIONS");
    private static final String ATTEMPT_HEADER = "Agatehatch-Attempt";

    private final String service;
    private final String name;
    private final RunCounts runs = new RunCounts();
    private final AtomicLong epoch = new AtomicLong(1);
    private final Set<Call> inFlight = ConcurrentHashMap.newKeySet();
    private final FaultBox<ServiceFaults> faults;
    private final HttpListener listener;

    public PlainServiceStandIn(
            ClassicActorSystemProvider system,
            String service,
            String name,
            String host,
            int port,
            ServiceFaults initialFaults) {
        this.service = service;
        this.name = name;
        this.faults = new FaultBox<>(ServiceFaults.class, initialFaults);
        this.listener = new HttpListener(system, name, host, port, faults, this::handle).start();
    }

    /** Returns the name of this backend server. */
    public String name() {
        return name;
    }

    /** Returns the name of the service that it serves. */
    public String service() {
        return service;
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
    public FaultBox<ServiceFaults> faults() {
        return faults;
    }

    /** Returns what truly ran so far, also before crashes. */
    public RunCounts.Figures runs() {
        return runs.figures();
    }

    /** Ends the process as if it had died; it listens again after {@code restart_millis}. */
    public CompletionStage<Void> crash() {
        return listener.crash(faults.get().restartMillis(), () -> {
            epoch.incrementAndGet();
            inFlight.clear();
        });
    }

    @Override
    public void close() {
        listener.close();
    }

    private CompletionStage<HttpResponse> handle(Call call) {
        return switch (call.target()) {
            case "GET /runs" -> Responses.now(Responses.ok(runs.figures()));
            case "GET /health" -> Responses.now(Responses.ok(health()));
            default -> {
                inFlight.add(call);
                yield serve(call).whenComplete((response, failure) -> inFlight.remove(call));
            }
        };
    }

    private CompletionStage<HttpResponse> serve(Call call) {
        ServiceFaults now = faults.get();
        if (now.leaving()) {
            String message = name + " is leaving; call another server of " + service;
            return Responses.now(Responses.refusal(503, "leaving", "admit", name, message));
        }
        long arrivalEpoch = epoch.get();
        if (now.runMillis() == 0) {
            return run(call, arrivalEpoch);
        }
        return CompletableFuture.supplyAsync(() -> call, listener.delayed(now.runMillis()))
                .thenCompose(delayed -> run(call, arrivalEpoch));
    }

    private CompletionStage<HttpResponse> run(Call call, long arrivalEpoch) {
        if (epoch.get() != arrivalEpoch) {
            return Responses.never(); // The process that received the call has died.
        }
        ServiceFaults now = faults.get();
        boolean poison = !now.crashOnText().isEmpty()
                && new String(call.body(), StandardCharsets.UTF_8).contains(now.crashOnText());
        if (poison || now.crashBeforeRun().fires()) {
            crash();
            return Responses.never();
        }
        HttpResponse response = effect(call);
        if (now.crashAfterRun().fires()) {
            crash();
            return Responses.never();
        }
        if (now.lostAnswers().fires()) {
            call.connection().abort();
            return Responses.never();
        }
        return Responses.now(response);
    }

    private HttpResponse effect(Call call) {
        boolean read = READS.contains(call.method());
        Optional<String> key = call.header("Idempotency-Key");
        ObjectNode body = Json.object();
        body.put("service", service);
        body.put("path", call.path());
        body.put("method", call.method());
        body.put("run", read ? 0 : runs.count(key, call.body()));
        body.put("idempotency_key", key.orElse(""));
        body.put("echo", new String(call.body(), StandardCharsets.UTF_8));
        HttpResponse response = Responses.json(read ? 200 : 201, body);
        return call.header(ATTEMPT_HEADER)
                .map(attempt -> response.addHeader(RawHeader.create(ATTEMPT_HEADER, attempt)))
                .orElse(response);
    }

    private Map<String, Object> health() {
        return Map.of(
                "name",
                name,
                "epoch",
                name + "-" + epoch.get(),
                "leaving",
                faults.get().leaving(),
                "in_flight",
                inFlight.size());
    }
}
