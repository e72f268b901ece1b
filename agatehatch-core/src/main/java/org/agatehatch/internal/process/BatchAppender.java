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
 * Appends records to the control stream. Batches the records of a short interval into one append, retries an append
 * that failed or got no response, and completes each record when it is read back from the log or its deadline passes.
 *
 * <p>A retry carries the same record ids, so a record that is stored twice takes effect once.
 */
public final class BatchAppender implements ReplicatedStateListener {
    /** Upper bound for the list header of a batch. */
    private static final int BATCH_HEADER_BYTES = 8;

    private final AppendLog log;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Settings settings;
    private final ControlState state;
    private final Map<AppendPurpose, PurposeQueue> queues = new EnumMap<>(AppendPurpose.class);
    private final Map<String, PendingRecord> pendingById = new LinkedHashMap<>();

    /**
     * Creates an appender.
     *
     * @param appendsPerSecond rate limit of each purpose
     * @param state reports the decision on each record; the appender registers itself as a listener
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
            queues.put(purpose, new PurposeQueue(new TokenBucket(appendsPerSecond.applyAsDouble(purpose), clock)));
        }
        state.addListener(this);
    }

    /**
     * Appends a record. May be called on any thread. The stage completes on the control thread, at the latest after
     * {@code timeoutMillis}. It fails with {@code REQUEST_TOO_LARGE} or {@code OVERLOADED}; in both cases the record
     * was not sent.
     */
    public CompletionStage<AppendResult> append(AppendPurpose purpose, StateRecord record, long timeoutMillis) {
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        long deadlineMillis = clock.millis() + timeoutMillis;
        control.execute(() -> enqueue(purpose, record, deadlineMillis, result));
        return result.minimalCompletionStage();
    }

    /** Returns the counters of a purpose. Must be called on the control thread. */
    public Counters counters(AppendPurpose purpose) {
        return queues.get(purpose).counters();
    }

    @Override
    public void onRecordApplied(long offset, StateRecord record, Acceptance acceptance) {
        PendingRecord pending = pendingById.remove(record.recordId());
        if (pending != null) {
            pending.end();
            // Listeners that are registered later than this one apply the record before its append completes.
            control.execute(() -> pending.result.complete(AppendResult.decided(offset, acceptance)));
        }
    }

    @Override
    public void onStateInstalled(ReplicatedState installed) {
        for (PendingRecord pending : List.copyOf(pendingById.values())) {
            installed
                    .decision(pending.record.recordId())
                    .ifPresent(decision -> onRecordApplied(decision.offset(), pending.record, decision.acceptance()));
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
        if (pendingById.size() >= settings.maxPendingRecords() || pendingById.containsKey(record.recordId())) {
            result.completeExceptionally(new AgatehatchException(
                    ErrorCode.OVERLOADED,
                    "append",
                    "self",
                    Outcome.NOT_RUN,
                    pendingById.size()
                            + " records are pending, or one with this id is pending already; try again later"));
            return;
        }
        PendingRecord pending = new PendingRecord(record, bytes, result);
        pendingById.put(record.recordId(), pending);
        state.state()
                .decision(record.recordId())
                .ifPresent(decision -> onRecordApplied(decision.offset(), record, decision.acceptance()));
        if (pending.done) {
            return;
        }
        PurposeQueue queue = queues.get(purpose);
        pending.deadline = control.schedule(Math.max(0, deadlineMillis - clock.millis()), () -> expire(queue, pending));
        queue.waiting.add(pending);
        scheduleFlush(queue, settings.lingerMillis());
    }

    private void expire(PurposeQueue queue, PendingRecord pending) {
        if (pending.done) {
            return;
        }
        pendingById.remove(pending.record.recordId());
        queue.waiting.remove(pending);
        if (pending.sent) {
            queue.unknown++;
        }
        pending.end();
        pending.result.complete(pending.sent ? AppendResult.UNKNOWN : AppendResult.NOT_SENT);
    }

    private void scheduleFlush(PurposeQueue queue, long delayMillis) {
        if (!queue.flushScheduled) {
            queue.flushScheduled = true;
            control.schedule(delayMillis, () -> {
                queue.flushScheduled = false;
                flush(queue);
            });
        }
    }

    private void flush(PurposeQueue queue) {
        queue.waiting.removeIf(pending -> pending.done);
        if (queue.waiting.isEmpty()) {
            return;
        }
        if (!queue.budget.tryAcquire()) {
            queue.rateLimited++;
            scheduleFlush(queue, queue.budget.millisUntilNextToken());
            return;
        }
        List<PendingRecord> batch = takeBatch(queue.waiting);
        send(queue, batch);
        if (!queue.waiting.isEmpty()) {
            scheduleFlush(queue, 0);
        }
    }

    // The offset of an intent becomes the fencing number of its orders, so two intents for the same runner must not
    // have the same offset and go into separate batches.
    private static List<PendingRecord> takeBatch(ArrayDeque<PendingRecord> waiting) {
        List<PendingRecord> batch = new ArrayList<>();
        Set<String> runners = new HashSet<>();
        int bytes = BATCH_HEADER_BYTES;
        Iterator<PendingRecord> iterator = waiting.iterator();
        while (iterator.hasNext()) {
            PendingRecord pending = iterator.next();
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

    private void send(PurposeQueue queue, List<PendingRecord> batch) {
        queue.appends++;
        queue.records += batch.size();
        batch.forEach(pending -> pending.sent = true);
        boolean[] ended = {false};
        ControlThread.ScheduledTask timeout =
                control.schedule(settings.answerTimeoutMillis(), () -> endAppend(queue, batch, ended, true));
        byte[] payload = RecordBatchCodec.encode(
                batch.stream().map(pending -> pending.record).toList());
        startAppend(payload)
                .whenComplete((offset, error) -> control.execute(() -> {
                    timeout.cancel();
                    endAppend(queue, batch, ended, error != null);
                }));
    }

    private CompletionStage<Long> startAppend(byte[] payload) {
        try {
            return log.append(LogStreams.CONTROL, payload);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    // After a successful append the tailer reads the records back from the log. After a failure they are sent again.
    private void endAppend(PurposeQueue queue, List<PendingRecord> batch, boolean[] ended, boolean failed) {
        if (ended[0]) {
            return;
        }
        ended[0] = true;
        if (!failed) {
            return;
        }
        queue.failures++;
        int attempts = ++batch.get(0).attempts;
        batch.forEach(pending -> pending.attempts = Math.max(attempts, pending.attempts));
        long backoffMillis =
                Backoff.millis(attempts, settings.initialBackoffMillis(), settings.maxBackoffMillis(), random);
        control.schedule(backoffMillis, () -> {
            batch.stream().filter(pending -> !pending.done).forEach(queue.waiting::add);
            scheduleFlush(queue, 0);
        });
    }

    /**
     * Delays and limits of appends.
     *
     * @param lingerMillis time for which records are collected into one append
     * @param answerTimeoutMillis time after which an append without a response is retried
     * @param maxPendingRecords maximum number of records that are queued or in flight
     */
    public record Settings(
            long lingerMillis,
            long answerTimeoutMillis,
            long initialBackoffMillis,
            long maxBackoffMillis,
            int maxPendingRecords) {
        /** Production settings: collect records for 20 ms, retry after 2 s without a response. */
        public static final Settings DEFAULT = new Settings(20, 2_000, 100, 2_000, 10_000);
    }

    /**
     * Counters of one purpose since the process started.
     *
     * @param appends appends that were sent, including retries
     * @param records records in these appends
     * @param failures appends that failed or timed out
     * @param rateLimited number of times that an append was delayed by the rate limit
     * @param unknown records that were sent but not read back before their deadline
     */
    public record Counters(long appends, long records, long failures, long rateLimited, long unknown) {}

    private static final class PurposeQueue {
        private final TokenBucket budget;
        private final ArrayDeque<PendingRecord> waiting = new ArrayDeque<>();
        private boolean flushScheduled;
        private long appends;
        private long records;
        private long failures;
        private long rateLimited;
        private long unknown;

        PurposeQueue(TokenBucket budget) {
            this.budget = budget;
        }

        Counters counters() {
            return new Counters(appends, records, failures, rateLimited, unknown);
        }
    }

    private static final class PendingRecord {
        private final StateRecord record;
        private final int bytes;
        private final CompletableFuture<AppendResult> result;
        private ControlThread.ScheduledTask deadline = () -> {};
        private boolean sent;
        private boolean done;
        private int attempts;

        PendingRecord(StateRecord record, int bytes, CompletableFuture<AppendResult> result) {
            this.record = record;
            this.bytes = bytes;
            this.result = result;
        }

        void end() {
            done = true;
            deadline.cancel();
        }
    }
}
