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
 * Collects the claims of one partition, appends them to the log in batches, reads them back and answers the claimants. A
 * claim is granted only after this writer has read it as the first claim of its key, so several writers may serve one
 * partition at the same time without a grant being given twice.
 *
 * <p>All methods must be called on the executor's thread. Work is done only in {@link #tick()} and when the log answers.
 */
public final class ClaimWriter {
    private static final int FIRST_READ_RECORDS = 16;
    private static final int MAX_READ_RECORDS = 256;
    private static final int CHECKPOINTS_PER_RETENTION = 8;
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    /** Time after which a resolution that was not read back is reported as failed, and its sender retries. */
    private static final long RESOLUTION_TIMEOUT_MILLIS = 10_000;

    /**
     * Pruning scans all claims, so it does not run on every tick. A claim that is kept longer than its time to live only
     * delays the reuse of its key.
     */
    private static final long PRUNE_INTERVAL_MILLIS = 1_000;

    /** Estimated size of a record without its answer body, for the limit on the size of a batch. */
    private static final int ESTIMATED_RECORD_BYTES = 256;

    private enum Progress {
        QUEUED,
        APPENDED
    }

    /** The last offset that had been read at a point in time. */
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
    private final LogPageSize pageSize = new LogPageSize(FIRST_READ_RECORDS, MAX_READ_RECORDS);
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
     * Creates a writer that starts to read on its first tick.
     *
     * @param isLive tells whether the claimant with this node address and incarnation is considered alive
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

    /** Claims a key. The stage completes within the request's timeout plus one tick, and never exceptionally. */
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
        // The refusal reflects the last read. Records that were appended since then cannot make it unsafe.
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
            return unavailable(waitMillis, "the claim writer has not read all earlier claims of the partition");
        }
        if (nowMillis - lastReadSuccessMillis > settings.maxReadAgeMillis()) {
            return unavailable(MIN_RETRY_AFTER_MILLIS, "the claim writer cannot read the log");
        }
        if (pendingClaims.size() >= settings.maxPending() || registry.size() >= settings.maxClaims()) {
            return unavailable(MIN_RETRY_AFTER_MILLIS, "the claim writer is at its limit of pending or stored claims");
        }
        return refusalByPendingClaim(request);
    }

    /**
     * Answers a repeat of a key whose settlement is not in the log yet, so that a caller that repeats a request right after
     * it was answered gets the same answer.
     */
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
     * Records that a claim was settled or abandoned. The stage completes with true once the record was read back from the
     * log, and with false on a timeout or if too many resolutions are pending; the sender then retries, at this or another
     * writer.
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

    /**
     * Expires overdue claims and resolutions, and starts the reads, checkpoints and appends that are due. Must be called at
     * least once per append interval.
     */
    public void tick() {
        long nowMillis = clock.millis();
        pruneIfDue(nowMillis);
        expireOverdue(nowMillis);
        readIfDue(nowMillis);
        startCheckpointIfDue(nowMillis);
        appendIfDue(nowMillis);
    }

    /** Returns whether this writer knows all claims that may hold a key, and thus can grant claims. */
    public boolean ready() {
        return ready(clock.millis());
    }

    /** Returns whether no claim, resolution or part of a checkpoint is pending. */
    public boolean idle() {
        return pendingClaims.isEmpty() && pendingResolutions.isEmpty() && checkpointParts.isEmpty();
    }

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
        call(() -> log.read(stream, nextOffset, pageSize.records(), Duration.ZERO))
                .whenCompleteAsync(this::onRead, executor);
    }

    private void onRead(LogBatch batch, Throwable failure) {
        reading = false;
        if (failure != null) {
            // The answer may have been too large for the time-out.
            pageSize.onFailure();
            return;
        }
        pageSize.onRead(batch);
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

    /**
     * Skips records that the log has dropped. They may contain claims, but these were made before this moment, so all of
     * them expire within one time to live from now.
     */
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
     * Starts a checkpoint of the claims up to an offset that was read at least {@code lagMillis} ago. Due to the lag, most
     * claims expire before they need to be repeated. The sum of lag and interval is well below the log's retention, so a
     * new writer finds a checkpoint that covers all dropped records.
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

    /** Appends records. A failed append may have taken effect, so the stream is read to its end before the next append. */
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

    /** Returns a refusal of a claim that this writer has not appended, so the claim is not in doubt. */
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
        throw new IllegalArgumentException("neither a settlement nor an abandonment: " + resolution);
    }
}
