package org.agatehatch.internal.process;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.request.AttemptId;
import org.agatehatch.internal.request.ClaimAnswer;

/**
 * Gathers the claims of one partition, appends them in batches, reads them back and answers. A claim is granted only
 * when this writer read it as the first of its key, so any number of writers may work on one partition.
 *
 * <p>All methods are called on the thread of the executor. Nothing happens between calls of {@link #tick()}, except the
 * answers of the log.
 */
public final class ClaimWriter {
    private static final int MAX_READ_RECORDS = 256;
    private static final int CHECKPOINTS_PER_RETENTION = 8;
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    /** Time after which a note that was not read back is reported as failed; its sender then sends it again. */
    private static final long RESOLUTION_TIMEOUT_MILLIS = 10_000;

    /** Pruning walks over all claims; a claim that is kept a little longer is only refused a little longer. */
    private static final long PRUNE_INTERVAL_MILLIS = 1_000;

    /** Estimate of a record's size without its body, for the bound on a batch. */
    private static final int ESTIMATED_RECORD_BYTES = 256;

    private enum Progress {
        QUEUED,
        APPENDED
    }

    /** The last offset that was read at a moment. */
    private record ReadPosition(long offset, long readAtMillis) {}

    private static final class Pending<T> {
        private final ClaimRecord record;
        private final long deadlineMillis;
        private final CompletableFuture<T> answer = new CompletableFuture<>();
        private Progress progress = Progress.QUEUED;
        private boolean appendAttempted;

        private Pending(ClaimRecord record, long deadlineMillis) {
            this.record = record;
            this.deadlineMillis = deadlineMillis;
        }
    }

    private final String stream;
    private final AppendLog log;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final BiPredicate<String, String> isLive;
    private final Executor executor;
    private final ClaimWriterSettings settings;
    private final ClaimRegistry registry;
    private final Map<String, Pending<ClaimAnswer>> pendingClaims = new LinkedHashMap<>();
    private final Map<String, Pending<Boolean>> pendingResolutions = new LinkedHashMap<>();
    private final Deque<List<ClaimRecord>> checkpointParts = new ArrayDeque<>();
    private final Deque<ReadPosition> readPositions = new ArrayDeque<>();
    private long nextOffset;
    private long contiguousFromOffset;
    private long gapDetectedAtMillis;
    private boolean firstReadDone;
    private boolean caughtUp;
    private boolean reading;
    private boolean appending;
    private boolean readRequiredBeforeAppend;
    private boolean checkpointAppendsNext;
    private long lastReadStartMillis;
    private long lastReadSuccessMillis;
    private long lastAppendMillis;
    private long lastPruneMillis;
    private long lastCheckpointMillis;
    private long malformedRecords;

    /**
     * Creates a writer that starts reading with its first tick.
     *
     * @param isLive whether the claimant with this node address and incarnation is alive, as far as is known
     * @param executor runs one task at a time
     */
    public ClaimWriter(
            int partition,
            AppendLog log,
            MonotonicClock clock,
            RandomGenerator random,
            BiPredicate<String, String> isLive,
            Executor executor,
            ClaimWriterSettings settings) {
        this.stream = LogStreams.claims(partition);
        this.log = log;
        this.clock = clock;
        this.random = random;
        this.isLive = isLive;
        this.executor = executor;
        this.settings = settings;
        this.registry = new ClaimRegistry(settings.claimTtlMillis(), settings.maxTotalBodyBytes());
        long nowMillis = clock.millis();
        this.lastReadStartMillis = nowMillis - settings.idlePollMillis();
        this.lastReadSuccessMillis = nowMillis;
        this.lastAppendMillis = nowMillis - settings.appendIntervalMillis();
        this.lastCheckpointMillis = nowMillis;
        this.lastPruneMillis = nowMillis;
    }

    /** Claims a key. The answer comes within the request's timeout plus one tick, and never as a failure. */
    public CompletionStage<ClaimAnswer> claim(ClaimRequest request) {
        Pending<ClaimAnswer> existing = pendingClaims.get(request.claimId());
        if (existing != null) {
            return existing.answer;
        }
        long nowMillis = clock.millis();
        Optional<ClaimAnswer> immediate = answerWithoutAppend(request, nowMillis);
        if (immediate.isPresent()) {
            return CompletableFuture.completedFuture(immediate.get());
        }
        Pending<ClaimAnswer> pending =
                new Pending<>(request.toRecord(), nowMillis + Math.max(0, request.timeoutMillis()));
        pendingClaims.put(request.claimId(), pending);
        return pending.answer;
    }

    private Optional<ClaimAnswer> answerWithoutAppend(ClaimRequest request, long nowMillis) {
        Optional<ClaimAnswer> decided = decide(request.toRecord(), nowMillis);
        if (decided.isPresent()) {
            return decided;
        }
        // True as of the last read, and later records cannot make a refusal unsafe.
        Optional<ClaimAnswer> refusal =
                registry.refusal(request.scope(), request.fingerprint(), request.claimId(), isLive);
        if (refusal.isPresent()) {
            return refusal.get() instanceof ClaimAnswer.InFlight
                    ? Optional.of(pendingSettlementAnswer(request.scope()).orElse(refusal.get()))
                    : refusal;
        }
        if (registry.isAbandoned(request.claimId())) {
            return unavailable(MIN_RETRY_AFTER_MILLIS, "the claim was given up");
        }
        if (!ready(nowMillis)) {
            long waitMillis = firstReadDone
                    ? gapDetectedAtMillis + settings.claimTtlMillis() - nowMillis
                    : MIN_RETRY_AFTER_MILLIS;
            return unavailable(waitMillis, "not all earlier claims of the partition are known");
        }
        if (nowMillis - lastReadSuccessMillis > settings.maxReadAgeMillis()) {
            return unavailable(MIN_RETRY_AFTER_MILLIS, "the log does not answer");
        }
        if (pendingClaims.size() >= settings.maxPending() || registry.size() >= settings.maxClaims()) {
            return unavailable(MIN_RETRY_AFTER_MILLIS, "too many claims are waiting or kept");
        }
        return refusalByPendingClaim(request);
    }

    /** A caller that repeats a key right after its answer must get that answer, though it is not in the log yet. */
    private Optional<ClaimAnswer> pendingSettlementAnswer(String scope) {
        for (Pending<Boolean> resolution : pendingResolutions.values()) {
            if (resolution.record instanceof ClaimRecord.Settled settled
                    && settled.scope().equals(scope)) {
                return Optional.of(
                        settled.outcome() == Outcome.RAN ? settled.storedAnswer() : new ClaimAnswer.OutcomeUnknown());
            }
        }
        return Optional.empty();
    }

    private Optional<ClaimAnswer> refusalByPendingClaim(ClaimRequest request) {
        for (Pending<ClaimAnswer> pending : pendingClaims.values()) {
            ClaimRecord.Claimed claimed = (ClaimRecord.Claimed) pending.record;
            if (claimed.scope().equals(request.scope())) {
                return Optional.of(
                        claimed.fingerprint() == request.fingerprint()
                                ? new ClaimAnswer.InFlight()
                                : new ClaimAnswer.Reused());
            }
        }
        return Optional.empty();
    }

    private Optional<ClaimAnswer> decide(ClaimRecord.Claimed claimed, long nowMillis) {
        if (!ready(nowMillis)) {
            return Optional.empty();
        }
        Optional<Boolean> wins = registry.wins(claimed.claimId());
        if (wins.isEmpty()) {
            return Optional.empty();
        }
        if (wins.get()) {
            return Optional.of(new ClaimAnswer.Granted(claimed.claimId(), 0));
        }
        return registry.refusal(claimed.scope(), claimed.fingerprint(), claimed.claimId(), isLive);
    }

    /**
     * Records that a claim was settled or abandoned. The answer is true once the record was read back, and false if it
     * was not in time; the sender then sends it again, here or to another writer.
     */
    public CompletionStage<Boolean> record(ClaimRecord resolution) {
        String claimId = resolvedClaimId(resolution);
        if (resolution instanceof ClaimRecord.Abandoned) {
            Pending<ClaimAnswer> pending = pendingClaims.remove(claimId);
            if (pending != null) {
                refuse(pending, "the claim was given up");
            }
        }
        if (isRecorded(resolution)) {
            return CompletableFuture.completedFuture(true);
        }
        Pending<Boolean> existing = pendingResolutions.get(claimId);
        if (existing != null) {
            return existing.answer;
        }
        if (pendingResolutions.size() >= settings.maxPending()) {
            return CompletableFuture.completedFuture(false);
        }
        Pending<Boolean> pending = new Pending<>(resolution, clock.millis() + RESOLUTION_TIMEOUT_MILLIS);
        pendingResolutions.put(claimId, pending);
        return pending.answer;
    }

    /** Does what is due. Called at least once per append interval. */
    public void tick() {
        long nowMillis = clock.millis();
        pruneIfDue(nowMillis);
        expireOverdue(nowMillis);
        readIfDue(nowMillis);
        startCheckpointIfDue(nowMillis);
        appendIfDue(nowMillis);
    }

    /** Returns whether all claims that may hold a key are known, so that claims can be granted. */
    public boolean ready() {
        return ready(clock.millis());
    }

    /** Returns whether no claim or note waits for the log. */
    public boolean idle() {
        return pendingClaims.isEmpty() && pendingResolutions.isEmpty() && checkpointParts.isEmpty();
    }

    /** Returns the writer's state, for operators. */
    public ClaimWriterStatus status() {
        long nowMillis = clock.millis();
        return new ClaimWriterStatus(
                stream,
                ready(nowMillis),
                ready(nowMillis) ? 0 : firstReadDone ? gapDetectedAtMillis + settings.claimTtlMillis() - nowMillis : -1,
                pendingClaims.size() + pendingResolutions.size(),
                registry.size(),
                registry.bodyBytes(),
                nextOffset,
                malformedRecords);
    }

    private boolean ready(long nowMillis) {
        return firstReadDone
                && (registry.coversBefore(contiguousFromOffset)
                        || nowMillis - gapDetectedAtMillis >= settings.claimTtlMillis());
    }

    private void pruneIfDue(long nowMillis) {
        if (nowMillis - lastPruneMillis >= PRUNE_INTERVAL_MILLIS) {
            lastPruneMillis = nowMillis;
            registry.prune(nowMillis);
        }
    }

    private void expireOverdue(long nowMillis) {
        List<Pending<ClaimAnswer>> overdueClaims = pendingClaims.values().stream()
                .filter(pending -> pending.deadlineMillis <= nowMillis)
                .toList();
        pendingClaims.values().removeAll(overdueClaims);
        overdueClaims.forEach(pending -> refuse(pending, "the log did not confirm the claim in time"));
        List<Pending<Boolean>> overdueResolutions = pendingResolutions.values().stream()
                .filter(pending -> pending.deadlineMillis <= nowMillis)
                .toList();
        pendingResolutions.values().removeAll(overdueResolutions);
        overdueResolutions.forEach(pending -> pending.answer.complete(false));
    }

    private void readIfDue(long nowMillis) {
        boolean recordsExpected =
                !pendingClaims.isEmpty() || !pendingResolutions.isEmpty() || !checkpointParts.isEmpty() || !caughtUp;
        if (reading || (!recordsExpected && nowMillis - lastReadStartMillis < settings.idlePollMillis())) {
            return;
        }
        reading = true;
        lastReadStartMillis = nowMillis;
        call(() -> log.read(stream, nextOffset, MAX_READ_RECORDS, Duration.ZERO))
                .whenCompleteAsync(this::onRead, executor);
    }

    private void onRead(LogBatch batch, Throwable failure) {
        reading = false;
        if (failure != null) {
            return;
        }
        long nowMillis = clock.millis();
        firstReadDone = true;
        lastReadSuccessMillis = nowMillis;
        if (batch.oldestOffset() > nextOffset) {
            skipTo(batch.oldestOffset(), nowMillis);
        }
        for (LogRecord record : batch.records()) {
            if (record.offset() > nextOffset) {
                skipTo(record.offset(), nowMillis);
            }
            if (record.offset() == nextOffset) {
                apply(record, nowMillis);
                nextOffset++;
            }
        }
        caughtUp = nextOffset >= batch.endOffset();
        readRequiredBeforeAppend &= !caughtUp;
        completeDecided(nowMillis);
        if (!caughtUp && !batch.records().isEmpty()) {
            readIfDue(nowMillis);
        }
    }

    /** Dropped records may hold claims. They are older than this moment, which bounds how long they hold their keys. */
    private void skipTo(long offset, long nowMillis) {
        nextOffset = offset;
        contiguousFromOffset = offset;
        gapDetectedAtMillis = nowMillis;
    }

    private void apply(LogRecord record, long nowMillis) {
        try {
            registry.apply(record.offset(), ClaimRecordCodec.decode(record.payload()), nowMillis);
        } catch (AgatehatchException malformed) {
            malformedRecords++;
        }
    }

    private void completeDecided(long nowMillis) {
        for (Pending<ClaimAnswer> pending : List.copyOf(pendingClaims.values())) {
            ClaimRecord.Claimed claimed = (ClaimRecord.Claimed) pending.record;
            decide(claimed, nowMillis).ifPresent(answer -> {
                pendingClaims.remove(claimed.claimId());
                pending.answer.complete(answer);
            });
        }
        for (Pending<Boolean> pending : List.copyOf(pendingResolutions.values())) {
            if (isRecorded(pending.record)) {
                pendingResolutions.remove(resolvedClaimId(pending.record));
                pending.answer.complete(true);
            }
        }
    }

    private boolean isRecorded(ClaimRecord resolution) {
        return resolution instanceof ClaimRecord.Settled settled
                ? registry.isSettled(settled.claimId())
                : registry.isAbandoned(resolvedClaimId(resolution)) || registry.isSettled(resolvedClaimId(resolution));
    }

    /**
     * Repeats the claims up to an offset that was reached a while ago. The lag leaves most claims time to expire, so that
     * they need not be repeated; lag and interval together are well below the log's retention, so that a new writer
     * finds a checkpoint for everything that was dropped.
     */
    private void startCheckpointIfDue(long nowMillis) {
        long shorterRetentionMillis = Math.min(settings.logRetentionMillis(), settings.claimTtlMillis());
        long intervalMillis = shorterRetentionMillis / CHECKPOINTS_PER_RETENTION;
        long lagMillis = Math.min(settings.logRetentionMillis() / 4, settings.claimTtlMillis());
        if (!ready(nowMillis) || !checkpointParts.isEmpty() || nowMillis - lastCheckpointMillis < intervalMillis) {
            return;
        }
        lastCheckpointMillis = nowMillis;
        readPositions.add(new ReadPosition(nextOffset - 1, nowMillis));
        long throughOffset = -1;
        while (!readPositions.isEmpty() && nowMillis - readPositions.peek().readAtMillis >= lagMillis) {
            throughOffset = readPositions.poll().offset;
        }
        if (throughOffset < 0) {
            return;
        }
        List<List<ClaimRecord>> parts = split(registry.checkpointRecords(throughOffset, nowMillis));
        String checkpointId = AttemptId.random(random).toString();
        for (int i = 0; i < parts.size(); i++) {
            parts.get(i).add(new ClaimRecord.Checkpoint(checkpointId, i, parts.size(), throughOffset));
            checkpointParts.add(parts.get(i));
        }
    }

    private List<List<ClaimRecord>> split(List<ClaimRecord> records) {
        List<List<ClaimRecord>> parts = new ArrayList<>();
        parts.add(new ArrayList<>());
        int partBytes = 0;
        for (ClaimRecord record : records) {
            if (partBytes >= settings.maxBatchBytes()) {
                parts.add(new ArrayList<>());
                partBytes = 0;
            }
            parts.get(parts.size() - 1).add(record);
            partBytes += estimateBytes(record);
        }
        return parts;
    }

    private void appendIfDue(long nowMillis) {
        boolean due = firstReadDone && nowMillis - lastAppendMillis >= settings.appendIntervalMillis();
        if (!due || appending || readRequiredBeforeAppend) {
            return;
        }
        List<Pending<?>> batch = nextBatch();
        if (!checkpointParts.isEmpty() && (batch.isEmpty() || checkpointAppendsNext)) {
            List<ClaimRecord> part = checkpointParts.poll();
            checkpointAppendsNext = false;
            append(part, nowMillis, () -> checkpointParts.addFirst(part));
            return;
        }
        if (batch.isEmpty()) {
            return;
        }
        checkpointAppendsNext = true;
        batch.forEach(pending -> {
            pending.progress = Progress.APPENDED;
            pending.appendAttempted = true;
        });
        append(
                batch.stream().map(pending -> pending.record).toList(),
                nowMillis,
                () -> batch.forEach(pending -> pending.progress = Progress.QUEUED));
    }

    private List<Pending<?>> nextBatch() {
        List<Pending<?>> batch = new ArrayList<>();
        List<Pending<?>> waiting = new ArrayList<>(pendingResolutions.values());
        waiting.addAll(pendingClaims.values());
        int batchBytes = 0;
        for (Pending<?> pending : waiting) {
            if (pending.progress == Progress.QUEUED && batchBytes < settings.maxBatchBytes()) {
                batch.add(pending);
                batchBytes += estimateBytes(pending.record);
            }
        }
        return batch;
    }

    /** An append without an answer may have taken effect, so the stream is read before anything is appended again. */
    private void append(List<ClaimRecord> records, long nowMillis, Runnable onFailure) {
        appending = true;
        lastAppendMillis = nowMillis;
        call(() -> log.append(stream, ClaimRecordCodec.encode(records)))
                .whenCompleteAsync(
                        (offset, failure) -> {
                            appending = false;
                            caughtUp = false;
                            if (failure != null) {
                                readRequiredBeforeAppend = true;
                                onFailure.run();
                            }
                            readIfDue(clock.millis());
                        },
                        executor);
    }

    private static <T> CompletionStage<T> call(Supplier<CompletionStage<T>> operation) {
        try {
            return operation.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Refuses a claim that this writer never appended. */
    private static Optional<ClaimAnswer> unavailable(long retryAfterMillis, String reason) {
        return Optional.of(
                new ClaimAnswer.Unavailable(Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis), reason, false));
    }

    private static void refuse(Pending<ClaimAnswer> pending, String reason) {
        pending.answer.complete(new ClaimAnswer.Unavailable(MIN_RETRY_AFTER_MILLIS, reason, pending.appendAttempted));
    }

    private static int estimateBytes(ClaimRecord record) {
        return record instanceof ClaimRecord.Settled settled
                ? ESTIMATED_RECORD_BYTES + settled.storedAnswer().body().length
                : ESTIMATED_RECORD_BYTES;
    }

    private static String resolvedClaimId(ClaimRecord resolution) {
        if (resolution instanceof ClaimRecord.Settled settled) {
            return settled.claimId();
        }
        if (resolution instanceof ClaimRecord.Abandoned abandoned) {
            return abandoned.claimId();
        }
        throw new IllegalArgumentException("not a note: " + resolution);
    }
}
