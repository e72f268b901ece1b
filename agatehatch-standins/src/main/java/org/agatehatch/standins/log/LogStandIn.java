package org.agatehatch.standins.log;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.standins.http.Call;
import org.agatehatch.standins.http.FaultBox;
import org.agatehatch.standins.http.HttpListener;
import org.agatehatch.standins.http.Responses;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Serves the platform's append-only log over HTTP, from memory. */
public final class LogStandIn implements AutoCloseable {
    private static final String NAME = "log";
    private static final int MAX_RECORD_BYTES = 1 << 20;
    private static final long MAX_READ_RECORDS = 10_000;
    private static final long DEFAULT_READ_RECORDS = 1_000;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final Map<String, StoredStream> streams = new ConcurrentHashMap<>();
    private final AppendLimit appendLimit = new AppendLimit();
    private final MonotonicClock clock;
    private final FaultBox<LogFaults> faults;
    private final HttpListener listener;

    public LogStandIn(
            ClassicActorSystemProvider system, String host, int port, LogFaults initialFaults, MonotonicClock clock) {
        this.clock = clock;
        this.faults = new FaultBox<>(LogFaults.class, initialFaults);
        this.listener = new HttpListener(system, NAME, host, port, faults, this::handle).start();
    }

    /** Returns the base address. */
    public String baseUri() {
        return listener.baseUri();
    }

    /** Returns the faults in force, to read or change. */
    public FaultBox<LogFaults> faults() {
        return faults;
    }

    /** Returns the offset that the next append to a stream will get. */
    public long endOffset(String stream) {
        StoredStream stored = streams.get(stream);
        return stored == null ? 0 : stored.endOffset();
    }

    @Override
    public void close() {
        listener.close();
    }

    private CompletionStage<HttpResponse> handle(Call call) {
        List<String> path = call.segments();
        if (path.size() != 3
                || !path.get(0).equals("streams")
                || !path.get(2).equals("records")
                || path.get(1).isEmpty()) {
            return Responses.now(Responses.notFound(call, NAME));
        }
        if (faults.get().outage()) {
            return Responses.now(outage());
        }
        return switch (call.method()) {
            case "POST" -> append(path.get(1), call);
            case "GET" -> read(path.get(1), call);
            default -> Responses.now(Responses.notFound(call, NAME));
        };
    }

    private CompletionStage<HttpResponse> append(String stream, Call call) {
        LogFaults now = faults.get();
        if (call.body().length == 0) {
            return Responses.now(
                    Responses.refusal(400, "empty_record", "append", NAME, "the record is empty; send its bytes"));
        }
        if (call.body().length > MAX_RECORD_BYTES) {
            String message = "the record has " + call.body().length + " bytes; send at most " + MAX_RECORD_BYTES;
            return Responses.now(Responses.refusal(413, "record_too_large", "append", NAME, message));
        }
        if (now.lostAppends().fires()) {
            call.connection().abort();
            return Responses.never();
        }
        OptionalLong waitNanos = appendLimit.take(
                now.maxAppendsPerSecond(), TimeUnit.MILLISECONDS.toNanos(now.maxAppendWaitMillis()), clock.nanos());
        if (waitNanos.isEmpty()) {
            String message = "more than " + now.maxAppendsPerSecond() + " appends a second; append less often";
            return Responses.now(Responses.refusal(429, "append_limit_reached", "append", NAME, message));
        }
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos.getAsLong());
        if (waitMillis == 0) {
            return Responses.now(store(stream, call)).thenCompose(response -> answer(call, response));
        }
        return CompletableFuture.supplyAsync(() -> store(stream, call), listener.delayed(waitMillis))
                .thenCompose(response -> answer(call, response));
    }

    private HttpResponse store(String stream, Call call) {
        if (faults.get().outage()) {
            return outage();
        }
        StoredStream stored = streams.computeIfAbsent(stream, name -> new StoredStream());
        long offset = stored.append(call.body(), clock.millis());
        retain(stored);
        return Responses.ok(Map.of("offset", offset));
    }

    private CompletionStage<HttpResponse> answer(Call call, HttpResponse response) {
        if (response.status().isSuccess() && faults.get().lostAnswers().fires()) {
            call.connection().abort();
            return Responses.never();
        }
        return Responses.now(response);
    }

    private CompletionStage<HttpResponse> read(String stream, Call call) {
        long from = call.longParameter("from", 0, 0, Long.MAX_VALUE);
        long max = call.longParameter("max", DEFAULT_READ_RECORDS, 1, MAX_READ_RECORDS);
        long waitMillis = call.longParameter("wait_ms", 0, 0, MAX_WAIT_MILLIS);
        if (faults.get().lostReads().fires()) {
            call.connection().abort();
            return Responses.never();
        }
        // A stream is kept from its first append on, but a reader may wait for that append.
        StoredStream stored = streams.computeIfAbsent(stream, name -> new StoredStream());
        if (waitMillis == 0) {
            return Responses.now(answerRead(stored, from, max));
        }
        long deadlineNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        return awaitRecord(stored, from, deadlineNanos)
                .thenApply(done -> faults.get().outage() ? outage() : answerRead(stored, from, max));
    }

    private CompletionStage<Void> awaitRecord(StoredStream stored, long from, long deadlineNanos) {
        CompletableFuture<Void> available = stored.available(from).toCompletableFuture();
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nanos());
        if (available.isDone() || leftMillis <= 0) {
            return CompletableFuture.completedFuture(null);
        }
        // An append below a "from" beyond the end wakes the reader too early; it then waits again.
        return available
                .copy()
                .completeOnTimeout(null, leftMillis, TimeUnit.MILLISECONDS)
                .thenComposeAsync(woken -> awaitRecord(stored, from, deadlineNanos), listener.executor());
    }

    private HttpResponse answerRead(StoredStream stored, long from, long max) {
        retain(stored);
        return Responses.ok(stored.read(from, max));
    }

    private void retain(StoredStream stored) {
        LogFaults now = faults.get();
        stored.retain(now.retentionRecords(), now.retentionMillis(), clock.millis());
    }

    private static HttpResponse outage() {
        return Responses.refusal(503, "log_outage", "log", NAME, "the log is down; try again later");
    }
}
