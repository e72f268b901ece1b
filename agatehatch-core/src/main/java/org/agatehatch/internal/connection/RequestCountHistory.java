package org.agatehatch.internal.connection;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Cumulative counts of this node's requests at one engine process, with enough history to compute their values at the
 * time of a late load report. Lock-free.
 */
final class RequestCountHistory {
    /** Bucket length, about the precision to which the time of a report is known. */
    private static final long BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** The history covers 12.8 s, which is more than the age at which a report counts as stale. */
    private static final int BUCKET_COUNT = 128;

    private final Counts totalCounts = new Counts(0);
    private final AtomicReferenceArray<Counts> buckets = new AtomicReferenceArray<>(BUCKET_COUNT);

    void addSent(long nowNanos, long tokens) {
        add(totalCounts, tokens);
        add(bucket(nowNanos), tokens);
    }

    void addStarted(long nowNanos, long tokens) {
        totalCounts.startedTokens.addAndGet(tokens);
        bucket(nowNanos).startedTokens.addAndGet(tokens);
    }

    void addFinished(long nowNanos) {
        totalCounts.finishedRequests.incrementAndGet();
        bucket(nowNanos).finishedRequests.incrementAndGet();
    }

    Totals now() {
        return totalCounts.read();
    }

    /** Returns the totals at an earlier time. The oldest bucket counts in proportion to its overlap. */
    Totals at(long asOfNanos, long nowNanos) {
        Totals result = now();
        long first = Math.floorDiv(asOfNanos, BUCKET_NANOS);
        long last = Math.floorDiv(nowNanos, BUCKET_NANOS);
        for (long index = Math.max(first, last - BUCKET_COUNT + 1); index <= last; index++) {
            Counts counts = buckets.get(bucketSlot(index));
            if (counts == null || counts.index != index) {
                continue;
            }
            long endNanos = (index + 1) * BUCKET_NANOS;
            double overlap = index == first ? (double) (endNanos - asOfNanos) / BUCKET_NANOS : 1;
            result = result.minus(counts.read(), overlap);
        }
        return result;
    }

    private static void add(Counts counts, long tokens) {
        counts.sentRequests.incrementAndGet();
        counts.sentTokens.addAndGet(tokens);
    }

    private Counts bucket(long nowNanos) {
        long index = Math.floorDiv(nowNanos, BUCKET_NANOS);
        int slot = bucketSlot(index);
        while (true) {
            Counts present = buckets.get(slot);
            if (present != null && present.index >= index) {
                return present;
            }
            Counts fresh = new Counts(index);
            if (buckets.compareAndSet(slot, present, fresh)) {
                return fresh;
            }
        }
    }

    private static int bucketSlot(long index) {
        return (int) Math.floorMod(index, (long) BUCKET_COUNT);
    }

    private static final class Counts {
        private final long index;
        private final AtomicLong sentRequests = new AtomicLong();
        private final AtomicLong sentTokens = new AtomicLong();
        private final AtomicLong startedTokens = new AtomicLong();
        private final AtomicLong finishedRequests = new AtomicLong();

        private Counts(long index) {
            this.index = index;
        }

        private Totals read() {
            return new Totals(sentRequests.get(), sentTokens.get(), startedTokens.get(), finishedRequests.get());
        }
    }

    /** Cumulative counts at one time. */
    record Totals(double sentRequests, double sentTokens, double startedTokens, double finishedRequests) {
        static final Totals NONE = new Totals(0, 0, 0, 0);

        private Totals minus(Totals other, double fraction) {
            return new Totals(
                    sentRequests - other.sentRequests * fraction,
                    sentTokens - other.sentTokens * fraction,
                    startedTokens - other.startedTokens * fraction,
                    finishedRequests - other.finishedRequests * fraction);
        }
    }
}
