package org.agatehatch.api.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * A compacted topic of the platform's store: it retains the newest record of each key.
 *
 * <p>The store may come back from an older copy. It then lacks records that it had acknowledged, and assigns their offsets again.
 * Each time, its era rises by one. Offsets and acknowledgements of one era say nothing about another.
 */
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
     * @param era era of the store in which all entries were read
     * @param ageMillis time since the store was read, if another node did that; 0 if the store itself answered
     */
    record Snapshot(List<Entry> entries, long endOffset, long era, long ageMillis) {
        public Snapshot {
            entries = List.copyOf(entries);
        }

        /** Creates a snapshot that the store itself answered. */
        public Snapshot(List<Entry> entries, long endOffset, long era) {
            this(entries, endOffset, era, 0);
        }
    }

    /**
     * The records from an offset on.
     *
     * @param nextOffset first offset that the entries do not cover
     * @param endOffset offset at which the topic ended
     * @param truncated whether the store does not have the requested offset, so that a snapshot is needed
     * @param era era of the store that answered
     * @param ageMillis time since the store was read, if another node did that; 0 if the store itself answered
     */
    record Changes(List<Entry> entries, long nextOffset, long endOffset, boolean truncated, long era, long ageMillis) {
        public Changes {
            entries = List.copyOf(entries);
        }

        /** Creates changes that the store itself answered. */
        public Changes(List<Entry> entries, long nextOffset, long endOffset, boolean truncated, long era) {
            this(entries, nextOffset, endOffset, truncated, era, 0);
        }
    }

    /**
     * The result of a conditional append.
     *
     * @param appended whether the topic ended at the expected offset, so that the record was appended
     * @param era era of the store that answered; an append in another era than that of the expected offset met its condition by
     *     chance
     */
    record AppendResult(boolean appended, long era) {}

    /** Reads the newest record of each key. */
    CompletionStage<Snapshot> snapshot();

    /** Reads the records from an offset on, and waits up to {@code waitMillis} for the first one (long poll). */
    CompletionStage<Changes> changes(long fromOffset, long waitMillis);

    /**
     * Appends a record on condition that the topic still ends at {@code expectedEnd}. The value must not be empty.
     */
    CompletionStage<AppendResult> appendAt(String key, byte[] value, long expectedEnd);
}
