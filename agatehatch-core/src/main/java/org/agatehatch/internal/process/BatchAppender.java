package org.agatehatch.internal.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.ReplicatedState;
import org.agatehatch.internal.version.record.RecordBatchCodec;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;

/**
 * Appends records to the control stream: gathers those of a short interval into one append, repeats an append whose
 * answer was lost, and answers each record when it was read back or its deadline passed.
 *
 * <p>A repeat carries the same record ids, so a record that was stored twice takes effect once.
 */
public final class BatchAppender implements AppliedListener {
    /** Bytes that the list header of a batch may take. */
    private static final int BATCH_HEADER_BYTES = 8;

    private final AppendLog log;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Settings settings;
    private final ControlState state;
    private final Map<AppendPurpose, Lane> lanes = new EnumMap<>(AppendPurpose.class);
    private final Map<String, Pending> pendingById = new LinkedHashMap<>();

    /**
     * Creates an appender.
     *
     * @param appendsPerSecond rate of each purpose
     * @param state tells what was decided; the appender registers itself as its listener
     */
    public BatchAppender(
            AppendLog log,
            ControlThread control,
            MonotonicClock clock,
            RandomGenerator random,
            Settings settings,
            ToDoubleFunction<AppendPurpose> appendsPerSecond,
            ControlState state) {
        this.log = log;
        this.control = control;
        this.clock = clock;
        this.random = random;
        this.settings = settings;
        this.state = state;
        for (AppendPurpose purpose : AppendPurpose.values()) {
            lanes.put(purpose, new Lane(new TokenBucket(appendsPerSecond.applyAsDouble(purpose), clock)));
        }
        state.addListener(this);
    }

    /**
     * Appends a record; may be called on any thread. The stage completes on the control thread, at the latest after
     * {@code timeoutMillis}. It fails with {@code REQUEST_TOO_LARGE} or {@code OVERLOADED}, and then the record was not
     * sent.
     */
    public CompletionStage<AppendResult> append(AppendPurpose purpose, StateRecord record, long timeoutMillis) {
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        long deadlineMillis = clock.millis() + timeoutMillis;
        control.execute(() -> enqueue(purpose, record, deadlineMillis, result));
        return result.minimalCompletionStage();
    }

    /** Returns what was counted for a purpose. To be called on the control thread. */
    public Counters counters(AppendPurpose purpose) {
        return lanes.get(purpose).counters();
    }

    @Override
    public void applied(long offset, StateRecord record, Acceptance acceptance) {
        Pending pending = pendingById.remove(record.recordId());
        if (pending != null) {
            pending.finish(AppendResult.decided(offset, acceptance));
        }
    }

    @Override
    public void installed(ReplicatedState installed) {
        for (Pending pending : List.copyOf(pendingById.values())) {
            installed
                    .decision(pending.record.recordId())
                    .ifPresent(decision -> applied(decision.offset(), pending.record, decision.acceptance()));
        }
    }

    private void enqueue(
            AppendPurpose purpose, StateRecord record, long deadlineMillis, CompletableFuture<AppendResult> result) {
        int bytes;
        try {
            bytes = RecordBatchCodec.encode(List.of(record)).length;
        } catch (AgatehatchException e) {
            result.completeExceptionally(e);
            return;
        }
        if (pendingById.size() >= settings.maxPending() || pendingById.containsKey(record.recordId())) {
            result.completeExceptionally(new AgatehatchException(
                    ErrorCode.OVERLOADED,
                    "append",
                    "self",
                    Outcome.NOT_RUN,
                    pendingById.size()
                            + " records wait for the log, or this record id waits already; try again later"));
            return;
        }
        Pending pending = new Pending(record, bytes, result);
        pendingById.put(record.recordId(), pending);
        state.state()
                .decision(record.recordId())
                .ifPresent(decision -> applied(decision.offset(), record, decision.acceptance()));
        if (pending.done) {
            return;
        }
        Lane lane = lanes.get(purpose);
        pending.deadline = control.schedule(Math.max(0, deadlineMillis - clock.millis()), () -> expire(lane, pending));
        lane.waiting.add(pending);
        scheduleFlush(lane, settings.gatherMillis());
    }

    private void expire(Lane lane, Pending pending) {
        if (pending.done) {
            return;
        }
        pendingById.remove(pending.record.recordId());
        lane.waiting.remove(pending);
        if (pending.sent) {
            lane.unknown++;
        }
        pending.finish(pending.sent ? AppendResult.UNKNOWN : AppendResult.NOT_SENT);
    }

    private void scheduleFlush(Lane lane, long delayMillis) {
        if (!lane.flushScheduled) {
            lane.flushScheduled = true;
            control.schedule(delayMillis, () -> {
                lane.flushScheduled = false;
                flush(lane);
            });
        }
    }

    private void flush(Lane lane) {
        lane.waiting.removeIf(pending -> pending.done);
        if (lane.waiting.isEmpty()) {
            return;
        }
        if (!lane.budget.tryAcquire()) {
            lane.heldBack++;
            scheduleFlush(lane, lane.budget.millisUntilNextToken());
            return;
        }
        List<Pending> batch = takeBatch(lane.waiting);
        send(lane, batch);
        if (!lane.waiting.isEmpty()) {
            scheduleFlush(lane, 0);
        }
    }

    // Two intents for one runner must not share an offset, since it becomes the fencing number of their orders.
    private static List<Pending> takeBatch(ArrayDeque<Pending> waiting) {
        List<Pending> batch = new ArrayList<>();
        Set<String> runners = new HashSet<>();
        int bytes = BATCH_HEADER_BYTES;
        Iterator<Pending> iterator = waiting.iterator();
        while (iterator.hasNext()) {
            Pending pending = iterator.next();
            if (pending.record instanceof PlacementIntent intent && !runners.add(intent.runner())) {
                continue;
            }
            if (!batch.isEmpty() && bytes + pending.bytes > RecordBatchCodec.MAX_BATCH_BYTES) {
                break;
            }
            bytes += pending.bytes;
            batch.add(pending);
            iterator.remove();
        }
        return batch;
    }

    private void send(Lane lane, List<Pending> batch) {
        lane.appends++;
        lane.records += batch.size();
        batch.forEach(pending -> pending.sent = true);
        boolean[] settled = {false};
        ControlThread.Scheduled timeout =
                control.schedule(settings.answerTimeoutMillis(), () -> endAppend(lane, batch, settled, true));
        byte[] payload = RecordBatchCodec.encode(
                batch.stream().map(pending -> pending.record).toList());
        startAppend(payload)
                .whenComplete((offset, error) -> control.execute(() -> {
                    timeout.cancel();
                    endAppend(lane, batch, settled, error != null);
                }));
    }

    private CompletionStage<Long> startAppend(byte[] payload) {
        try {
            return log.append(LogStreams.CONTROL, payload);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    // After an answer the records are in the log, and the tailer will bring them. Without one they are sent again.
    private void endAppend(Lane lane, List<Pending> batch, boolean[] settled, boolean failed) {
        if (settled[0]) {
            return;
        }
        settled[0] = true;
        if (!failed) {
            return;
        }
        lane.failures++;
        int attempts = ++batch.get(0).attempts;
        batch.forEach(pending -> pending.attempts = Math.max(attempts, pending.attempts));
        long backoffMillis =
                Backoff.millis(attempts, settings.firstBackoffMillis(), settings.longestBackoffMillis(), random);
        control.schedule(backoffMillis, () -> {
            batch.stream().filter(pending -> !pending.done).forEach(lane.waiting::add);
            scheduleFlush(lane, 0);
        });
    }

    /**
     * Times and limits of appends.
     *
     * @param gatherMillis time for which records are gathered into one append
     * @param answerTimeoutMillis time after which an append without an answer is repeated
     * @param maxPending most records that wait for the log
     */
    public record Settings(
            long gatherMillis,
            long answerTimeoutMillis,
            long firstBackoffMillis,
            long longestBackoffMillis,
            int maxPending) {
        /** Settings for production: gather for 20 ms, repeat after 2 s without an answer. */
        public static final Settings DEFAULT = new Settings(20, 2_000, 100, 2_000, 10_000);
    }

    /**
     * Counts of one purpose since the start.
     *
     * @param appends appends that were sent, repeats included
     * @param records records in these appends
     * @param failures appends that failed or got no answer in time
     * @param heldBack times that an append waited for its rate
     * @param unknown records whose deadline passed in doubt
     */
    public record Counters(long appends, long records, long failures, long heldBack, long unknown) {}

    private static final class Lane {
        private final TokenBucket budget;
        private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
        private boolean flushScheduled;
        private long appends;
        private long records;
        private long failures;
        private long heldBack;
        private long unknown;

        Lane(TokenBucket budget) {
            this.budget = budget;
        }

        Counters counters() {
            return new Counters(appends, records, failures, heldBack, unknown);
        }
    }

    private static final class Pending {
        private final StateRecord record;
        private final int bytes;
        private final CompletableFuture<AppendResult> result;
        private ControlThread.Scheduled deadline = () -> {};
        private boolean sent;
        private boolean done;
        private int attempts;

        Pending(StateRecord record, int bytes, CompletableFuture<AppendResult> result) {
            this.record = record;
            this.bytes = bytes;
            this.result = result;
        }

        void finish(AppendResult outcome) {
            done = true;
            deadline.cancel();
            result.complete(outcome);
        }
    }
}
