package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a keyed topic: reads a snapshot, then the changes, and reads a snapshot again if the store does not have the next
 * changes or has come back from an older copy. Runs on the control thread.
 *
 * <p>Stale responses are harmless: one of an earlier era is discarded, a record is applied only if its offset is above the last
 * offset of its key in its era, and a missing key counts as removed only in a snapshot that is not older than what was read
 * before. In a new era all records of the first snapshot are applied, also older ones: listeners that must not go back compare
 * the content.
 */
public final class TopicFollower {
    /** Receives the changes of the topic in order. */
    public interface Listener {
        /** Runs a task that calls the other methods for all changes of one read. */
        default void onBatch(Runnable changes) {
            changes.run();
        }

        /** Called when a key has a new value. */
        void onValue(String key, byte[] value);

        /** Called when a key was removed. */
        default void onRemoved(String key) {}

        /** Called before a snapshot is applied that stands in for changes which the store no longer has, or which were not read. */
        default void onHistoryMissing() {}

        /** Called before the first records of a new era of the store are applied; see {@link KeyedTopic}. */
        default void onNewEra(long era) {}

        /** Called when the topic was read up to its end. */
        default void onCaughtUp() {}
    }

    private static final Logger log = LoggerFactory.getLogger(TopicFollower.class);

    /** Below all offsets. */
    private static final long UNREAD = -1;

    /** Interval in which reads that go on to fail are logged again. */
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final String name;
    private final KeyedTopic topic;
    private final Supplier<TopicFollowerSettings> settings;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Listener listener;
    private final InputGuard guard;
    private final Map<String, Long> offsetByKey = new HashMap<>();
    private long nextOffset = UNREAD;
    private long era = -1;
    private volatile int consecutiveFailures;
    private long recoveredNanos;
    private boolean everFailed;
    private long failingSinceNanos;
    private long failureReportedNanos;
    private boolean stopped;
    private boolean readingOn;
    private volatile long currentAsOfNanos;
    private volatile long answeredNanos;
    private volatile boolean everCurrent;

    public TopicFollower(
            String name,
            KeyedTopic topic,
            TopicFollowerSettings settings,
            ControlThread control,
            MonotonicClock clock,
            RandomGenerator random,
            Listener listener) {
        this(name, topic, () -> settings, control, clock, random, listener);
    }

    /**
     * Creates a follower that has read nothing.
     *
     * @param settings supplies the timing, which may change
     */
    public TopicFollower(
            String name,
            KeyedTopic topic,
            Supplier<TopicFollowerSettings> settings,
            ControlThread control,
            MonotonicClock clock,
            RandomGenerator random,
            Listener listener) {
        this.name = name;
        this.topic = topic;
        this.settings = settings;
        this.control = control;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
        this.guard = new InputGuard("store/" + name);
    }

    /** Starts reading. */
    public void start() {
        snapshot();
    }

    /** Makes keys known that the listener has from elsewhere, so that it hears of their removal if the topic lacks them. */
    public void addKnownKeys(Set<String> keys) {
        keys.forEach(key -> offsetByKey.putIfAbsent(key, UNREAD));
    }

    /** Stops reading; the result of a read in flight is still applied. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the time since reads succeeded again after a failure, or since a new era was seen: 0 while reads fail, and
     * {@code Long.MAX_VALUE} if none has failed yet.
     */
    public long sinceRecoveryMillis() {
        if (!everFailed) {
            return Long.MAX_VALUE;
        }
        return consecutiveFailures > 0 ? 0 : (clock.nanos() - recoveredNanos) / 1_000_000;
    }

    /**
     * Returns whether all changes were applied that the store had at a time or later. What a relay answers counts as of the relay's
     * own read.
     *
     * @param nanos a time of the clock
     */
    public boolean isCurrentAsOf(long nanos) {
        return everCurrent && currentAsOfNanos - nanos >= 0;
    }

    /**
     * Returns whether the source of the reads has answered at a time or later and all that it had was applied. Unlike
     * {@link #isCurrentAsOf}, a read that waited for changes counts as of its answer, but not later than its wait could
     * end: a process that was frozen may take an answer from long before for a new one.
     *
     * @param nanos a time of the clock
     */
    public boolean wasAnsweredSince(long nanos) {
        return everCurrent && answeredNanos - nanos >= 0;
    }

    /** Returns the age of the view; empty if the topic was never read up to its end. */
    public OptionalLong viewAgeMillis() {
        return everCurrent ? OptionalLong.of((clock.nanos() - currentAsOfNanos) / 1_000_000) : OptionalLong.empty();
    }

    /** Returns the number of reads that have failed since the last one that succeeded. */
    public int failedReads() {
        return consecutiveFailures;
    }

    private void snapshot() {
        if (stopped) {
            return;
        }
        long sentNanos = clock.nanos();
        topic.snapshot()
                .whenComplete((snapshot, failure) -> control.execute(() -> {
                    if (failure != null) {
                        onFailure("snapshot", failure);
                        return;
                    }
                    onSuccess();
                    applySafely("snapshot", () -> apply(snapshot, sentNanos));
                }));
    }

    private void read() {
        // After a failure the read returns at once, since any response shows that the store is available again.
        read(consecutiveFailures > 0 ? 0 : settings.get().waitMillis());
    }

    private void read(long waitMillis) {
        if (stopped) {
            return;
        }
        long sentNanos = clock.nanos();
        topic.changes(nextOffset, waitMillis)
                .whenComplete((changes, failure) -> control.execute(() -> {
                    if (failure != null) {
                        onFailure("read", failure);
                        return;
                    }
                    onSuccess();
                    applySafely("read", () -> apply(changes, sentNanos, waitMillis));
                }));
    }

    /** Applies a response, and reads on also after an unexpected failure. */
    private void applySafely(String step, Runnable application) {
        try {
            application.run();
        } catch (RuntimeException | Error e) {
            log.error("event=topic_read_failed topic={} step={} position={}", name, step, nextOffset, e);
            onFailure(step, e);
        }
    }

    /** Returns whether a response belongs to the present or to a new era. In a new era, positions of the last one are dropped. */
    private boolean acceptEra(long observed) {
        if (observed < era) {
            log.info("event=answer_of_earlier_era topic={} era={} current={}", name, observed, era);
            return false;
        }
        if (observed == era) {
            return true;
        }
        boolean restored = era >= 0;
        log.info("event=store_era topic={} era={} previous={} read_up_to={}", name, observed, era, nextOffset);
        era = observed;
        if (restored) {
            nextOffset = UNREAD;
            offsetByKey.replaceAll((key, offset) -> UNREAD);
            everFailed = true;
            recoveredNanos = clock.nanos();
            guard.run("era", () -> listener.onNewEra(observed));
        }
        return true;
    }

    private void apply(KeyedTopic.Changes changes, long sentNanos, long waitMillis) {
        if (!acceptEra(changes.era())) {
            retryStale();
            return;
        }
        if (nextOffset == UNREAD) {
            snapshot();
            return;
        }
        if (changes.truncated()) {
            log.info("event=topic_truncated topic={} offset={}", name, nextOffset);
            guard.run("gap", listener::onHistoryMissing);
            snapshot();
            return;
        }
        guard.run("batch", () -> listener.onBatch(() -> changes.entries().forEach(this::apply)));
        boolean progress = changes.nextOffset() > nextOffset;
        nextOffset = Math.max(nextOffset, changes.nextOffset());
        if (nextOffset < changes.endOffset()) {
            readOn(changes.endOffset(), progress);
            return;
        }
        onCurrent(sentNanos, changes.ageMillis(), waitMillis);
        readAfterPause();
    }

    /**
     * Reads the last record that is missing, or the newest of each key in place of several: those between are of no use. If the
     * topic has grown again meanwhile, the newest ones bring this node up to the end, which single records may never do.
     */
    private void readOn(long endOffset, boolean progress) {
        log.info("event=topic_behind topic={} position={} end={}", name, nextOffset, endOffset);
        if (progress && endOffset - nextOffset == 1 && !readingOn) {
            readingOn = true;
            read(0);
        } else {
            guard.run("gap", listener::onHistoryMissing);
            snapshot();
        }
    }

    private void apply(KeyedTopic.Snapshot snapshot, long sentNanos) {
        if (!acceptEra(snapshot.era())) {
            retryStale();
            return;
        }
        boolean stale = snapshot.endOffset() < nextOffset;
        guard.run("batch", () -> listener.onBatch(() -> snapshot.entries().forEach(this::apply)));
        if (stale) {
            log.warn("event=stale_snapshot topic={} end={} read_up_to={}", name, snapshot.endOffset(), nextOffset);
            retryStale();
            return;
        }
        Set<String> present = new HashSet<>();
        snapshot.entries().forEach(entry -> present.add(entry.key()));
        for (String key : List.copyOf(offsetByKey.keySet())) {
            if (!present.contains(key) && offsetByKey.get(key) < snapshot.endOffset()) {
                offsetByKey.remove(key);
                guard.run(key, () -> listener.onRemoved(key));
            }
        }
        nextOffset = snapshot.endOffset();
        onCurrent(sentNanos, snapshot.ageMillis(), 0);
        readAfterPause();
    }

    private void onCurrent(long sentNanos, long ageMillis, long waitMillis) {
        guard.run("end", listener::onCaughtUp);
        currentAsOfNanos = sentNanos - ageMillis * 1_000_000;
        answeredNanos = currentAsOfNanos + Math.min(clock.nanos() - sentNanos, waitMillis * 1_000_000);
        everCurrent = true;
        readingOn = false;
    }

    /** Reads again after a stale response, which may be followed by others, so not at once. */
    private void retryStale() {
        control.schedule(settings.get().initialBackoffMillis(), nextOffset == UNREAD ? this::snapshot : this::read);
    }

    private void apply(KeyedTopic.Entry entry) {
        Long lastOffset = offsetByKey.get(entry.key());
        if (lastOffset != null && entry.offset() <= lastOffset) {
            return;
        }
        Optional<byte[]> value = entry.value();
        if (value.isPresent()) {
            offsetByKey.put(entry.key(), entry.offset());
            guard.run(entry.key(), () -> listener.onValue(entry.key(), value.get()));
        } else {
            offsetByKey.remove(entry.key());
            guard.run(entry.key(), () -> listener.onRemoved(entry.key()));
        }
    }

    private void readAfterPause() {
        long pauseMillis = settings.get().pauseMillis();
        if (pauseMillis == 0) {
            read();
            return;
        }
        // Jitter spreads the reads of different nodes over time.
        long jittered = pauseMillis - random.nextLong(pauseMillis / 5 + 1);
        control.schedule(jittered, this::read);
    }

    private void onSuccess() {
        if (consecutiveFailures > 0) {
            log.info("event=dependency_regained dependency=store/{} failures={}", name, consecutiveFailures);
            recoveredNanos = clock.nanos();
        }
        consecutiveFailures = 0;
    }

    private void reportFailure(String step, Throwable failure) {
        long nowNanos = clock.nanos();
        if (consecutiveFailures == 1) {
            failingSinceNanos = nowNanos;
            failureReportedNanos = nowNanos;
            log.warn(
                    "event=dependency_lost dependency=store/{} step={} position={} cause={}",
                    name,
                    step,
                    nextOffset,
                    failure.toString());
            return;
        }
        if ((nowNanos - failureReportedNanos) / 1_000_000 >= REPORT_INTERVAL_MILLIS) {
            failureReportedNanos = nowNanos;
            log.warn(
                    "event=dependency_still_lost dependency=store/{} step={} position={} failures={} since_ms={} cause={}",
                    name,
                    step,
                    nextOffset,
                    consecutiveFailures,
                    (nowNanos - failingSinceNanos) / 1_000_000,
                    failure.toString());
        }
    }

    private void onFailure(String step, Throwable failure) {
        consecutiveFailures++;
        everFailed = true;
        reportFailure(step, failure);
        long pauseMillis = Backoff.millis(
                consecutiveFailures,
                settings.get().initialBackoffMillis(),
                settings.get().maxBackoffMillis(),
                random);
        control.schedule(pauseMillis, nextOffset == UNREAD ? this::snapshot : this::read);
    }
}
