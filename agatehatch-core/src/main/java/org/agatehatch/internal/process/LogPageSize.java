package org.agatehatch.internal.process;

import org.agatehatch.api.log.LogBatch;

/**
 * Number of records that a reader of the log requests at once, so that an answer arrives within the time-out of a read
 * whatever the size of the records and the speed of the connection. A reader that repeated a read whose answer takes too
 * long would never get any further. Not thread-safe.
 */
public final class LogPageSize {
    /** Size of an answer up to which pages grow; with a time-out of 3 s it takes less than 100 KB/s. */
    static final long PAGE_BYTES = 256 * 1024;

    private final int maxRecords;
    private int records;
    private boolean everFailed;

    /**
     * @param firstRecords records of the first page, whose size is not known yet
     * @param maxRecords most records of a page
     */
    public LogPageSize(int firstRecords, int maxRecords) {
        this.records = Math.min(firstRecords, maxRecords);
        this.maxRecords = maxRecords;
    }

    /** Returns the number of records to request. */
    public int records() {
        return records;
    }

    /** Doubles the next page after a full one, or adds one record to it once a read has failed. */
    public void onRead(LogBatch batch) {
        int read = batch.records().size();
        if (read == 0) {
            return;
        }
        long bytes = batch.records().stream()
                .mapToLong(record -> record.payload().length)
                .sum();
        long fitting = Math.max(1, Math.min(maxRecords, PAGE_BYTES * read / Math.max(1, bytes)));
        long next = read < records ? records : everFailed ? records + 1 : 2L * records;
        records = (int) Math.min(fitting, next);
    }

    /** Halves the next page. Returns whether that makes it smaller. */
    public boolean onFailure() {
        everFailed = true;
        boolean smaller = records > 1;
        records = Math.max(1, records / 2);
        return smaller;
    }
}
