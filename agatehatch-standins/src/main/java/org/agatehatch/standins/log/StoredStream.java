package org.agatehatch.standins.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** One stream of the log. Safe for use by several threads. */
final class StoredStream {
    private static final long MAX_ANSWER_BYTES = 4L << 20;

    private final Deque<Stored> records = new ArrayDeque<>();
    private long endOffset;
    private CompletableFuture<Void> nextAppend = new CompletableFuture<>();

    /** Answer to a read, with the field names of the protocol. */
    record Batch(List<Row> records, long oldestOffset, long endOffset) {}

    /** One record of an answer. */
    record Row(long offset, String payload) {}

    @SuppressWarnings("ArrayRecordComponent") // Payloads are never compared.
    private record Stored(long offset, byte[] payload, long atMillis) {}

    long append(byte[] payload, long nowMillis) {
        CompletableFuture<Void> waiting;
        long offset;
        synchronized (this) {
            offset = endOffset++;
            records.addLast(new Stored(offset, payload, nowMillis));
            waiting = nextAppend;
            nextAppend = new CompletableFuture<>();
        }
        waiting.complete(null);
        return offset;
    }

    synchronized void retain(long maxRecords, long maxAgeMillis, long nowMillis) {
        while (!records.isEmpty()
                && (records.size() > maxRecords || nowMillis - records.getFirst().atMillis > maxAgeMillis)) {
            records.removeFirst();
        }
    }

    synchronized Batch read(long from, long max) {
        long oldest = oldestOffset();
        List<Row> rows = new ArrayList<>();
        long bytes = 0;
        Iterator<Stored> stored = from - oldest > records.size() / 2 ? fromEnd(from) : records.iterator();
        while (stored.hasNext() && rows.size() < max) {
            Stored next = stored.next();
            if (next.offset < from) {
                continue;
            }
            bytes += next.payload.length;
            if (bytes > MAX_ANSWER_BYTES && !rows.isEmpty()) {
                break;
            }
            rows.add(new Row(next.offset, Base64.getEncoder().encodeToString(next.payload)));
        }
        return new Batch(rows, oldest, endOffset);
    }

    /** Completes at once if there is a record at or after {@code from}, else with the next append. */
    synchronized CompletionStage<Void> available(long from) {
        return from < endOffset && !records.isEmpty() ? CompletableFuture.completedFuture(null) : nextAppend;
    }

    synchronized long endOffset() {
        return endOffset;
    }

    private long oldestOffset() {
        return records.isEmpty() ? endOffset : records.getFirst().offset;
    }

    // Reads near the end, the usual case, must not walk over all that is kept.
    private Iterator<Stored> fromEnd(long from) {
        Deque<Stored> tail = new ArrayDeque<>();
        Iterator<Stored> backwards = records.descendingIterator();
        while (backwards.hasNext()) {
            Stored stored = backwards.next();
            if (stored.offset < from) {
                break;
            }
            tail.addFirst(stored);
        }
        return tail.iterator();
    }
}
