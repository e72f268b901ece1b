package org.agatehatch.api.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** A topic of the platform's store that retains the newest record of each key. */
public interface KeyedTopic {
    /**
     * A record.
     *
     * @param value empty if the key was dropped
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
     * Records from an offset on.
     *
     * @param nextOffset first offset that the entries do not cover
     * @param endOffset offset at which the topic ended
     * @param truncated whether the records at the offset are gone, so that a snapshot is needed
     */
    record Changes(List<Entry> entries, long nextOffset, long endOffset, boolean truncated) {
        public Changes {
            entries = List.copyOf(entries);
        }
    }

    /** Reads the newest record of each key. */
    CompletionStage<Snapshot> snapshot();

    /** Reads the records from an offset on, and waits up to the given time for the first one. */
    CompletionStage<Changes> changes(long fromOffset, long waitMillis);

    /**
     * Appends a record, if the topic still ends at the given offset, and completes with whether it did. The value must not
     * be empty.
     */
    CompletionStage<Boolean> appendAt(String key, byte[] value, long expectedEnd);
}
