package org.agatehatch.api.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** A compacted topic of the platform's store: it retains the newest record of each key. */
public interface KeyedTopic {
    /**
     * A record.
     *
     * @param value empty if the key was deleted
     */
    record Entry(String key, Optional<byte[]> value, long offset) {}

    /**
     * The newest record of each key.
     *
     * @param endOffset offset from which later changes can be read without a gap
     */
    record Snapshot(List<Entry> entries, long endOffset) {
        public Snapshot {
            entries = List.copyOf(entries);
        }
    }

    /**
     * The records from an offset on.
     *
     * @param nextOffset first offset that the entries do not cover
     * @param endOffset offset at which the topic ended
     * @param truncated whether the records at the requested offset are no longer retained, so that a snapshot is needed
     */
    record Changes(List<Entry> entries, long nextOffset, long endOffset, boolean truncated) {
        public Changes {
            entries = List.copyOf(entries);
        }
    }

    /** Reads the newest record of each key. */
    CompletionStage<Snapshot> snapshot();

    /** Reads the records from an offset on, and waits up to {@code waitMillis} for the first one (long poll). */
    CompletionStage<Changes> changes(long fromOffset, long waitMillis);

    /**
     * Appends a record on condition that the topic still ends at {@code expectedEnd}, and completes with whether the record
     * was appended. The value must not be empty.
     */
    CompletionStage<Boolean> appendAt(String key, byte[] value, long expectedEnd);
}
