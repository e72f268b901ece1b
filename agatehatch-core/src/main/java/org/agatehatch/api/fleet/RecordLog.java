package org.agatehatch.api.fleet;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * A topic of the platform's store without keys: records are appended at its end and expire after a while. For eras see
 * {@link KeyedTopic}.
 */
public interface RecordLog {
    /**
     * Records that were read.
     *
     * @param nextOffset first offset that the records do not cover
     * @param endOffset offset at which the topic ended
     * @param era era of the store that answered
     */
    record Batch(List<byte[]> records, long nextOffset, long endOffset, long era) {
        public Batch {
            records = List.copyOf(records);
        }
    }

    /** Appends records in one call, all or none. A failed append may still have taken effect. */
    CompletionStage<Void> append(List<byte[]> records);

    /** Reads the records from an offset on; from the oldest one that is retained if the store does not have that offset. */
    CompletionStage<Batch> read(long fromOffset);
}
