package org.agatehatch.api.log;

import java.util.List;

/**
 * The result of a read.
 *
 * @param records records in the order of their offsets
 * @param oldestOffset offset of the oldest record that the log still keeps; equals {@code endOffset} if it keeps none
 * @param endOffset offset of the next append, as of the time of the read
 */
public record LogBatch(List<LogRecord> records, long oldestOffset, long endOffset) {
    public LogBatch {
        records = List.copyOf(records);
    }
}
