package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Counts the usage of this node's requests per owner and appends the cumulative counters to the log periodically. Each
 * append has a new sequence, even after a failure, so an append that took effect without an answer does no harm.
 *
 * <p>{@link #count} is thread-safe; the other methods must be called on the executor's thread.
 */
public final class AccountReporter {
    /** Interval between appends. Usage that was counted since the last append is lost if the process dies. */
    public static final long INTERVAL_MILLIS = 30_000;

    private final String node;
    private final String incarnation;
    private final AppendLog log;
    private final MonotonicClock clock;
    private final Executor executor;
    private final Object lock = new Object();
    private final Map<String, AccountCounters> countersByOwner = new HashMap<>();
    private boolean changed;
    private boolean appending;
    private long sequence;
    private long nextAppendMillis;

    /**
     * Creates a reporter with all counters at 0.
     *
     * @param incarnation identity of this process; changes with each restart
     */
    public AccountReporter(String node, String incarnation, AppendLog log, MonotonicClock clock, Executor executor) {
        this.node = node;
        this.incarnation = incarnation;
        this.log = log;
        this.clock = clock;
        this.executor = executor;
        this.nextAppendMillis = clock.millis() + INTERVAL_MILLIS;
    }

    /** Adds to the counters of an owner. */
    public void count(String owner, AccountCounters delta) {
        synchronized (lock) {
            countersByOwner.merge(owner, delta, AccountCounters::plus);
            changed = true;
        }
    }

    /** Appends the counters if the interval has passed and they have changed. Must be called at least once a second. */
    public void tick() {
        if (appending || clock.millis() < nextAppendMillis) {
            return;
        }
        nextAppendMillis = clock.millis() + INTERVAL_MILLIS;
        synchronized (lock) {
            if (!changed) {
                return;
            }
        }
        append(false);
    }

    /**
     * Appends the last record of this incarnation. Must be called during a graceful stop, after the last request is
     * counted.
     */
    public CompletionStage<Long> stop() {
        return append(true);
    }

    /** Returns the current counters as a record with a new sequence, for the digest to peers. */
    public AccountRecord snapshot() {
        return nextRecord(false);
    }

    private CompletionStage<Long> append(boolean last) {
        appending = true;
        AccountRecord record;
        synchronized (lock) {
            changed = false;
            record = nextRecord(last);
        }
        return call(record)
                .whenCompleteAsync(
                        (offset, failure) -> {
                            appending = false;
                            if (failure != null) {
                                synchronized (lock) {
                                    changed = true;
                                }
                            }
                        },
                        executor);
    }

    private AccountRecord nextRecord(boolean last) {
        synchronized (lock) {
            sequence++;
            return new AccountRecord(node, incarnation, sequence, last, countersByOwner);
        }
    }

    private CompletionStage<Long> call(AccountRecord record) {
        try {
            return log.append(LogStreams.ACCOUNTS, AccountRecordCodec.encode(List.of(record)));
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
