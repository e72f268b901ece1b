package org.agatehatch.internal.process;

/**
 * How a keyed topic is followed.
 *
 * @param waitMillis time for which a read waits for changes
 * @param pauseMillis pause between two reads
 * @param initialBackoffMillis pause after the first failure; doubled with each further one
 * @param maxBackoffMillis longest pause after failures
 */
public record TopicFollowerSettings(long waitMillis, long pauseMillis, long initialBackoffMillis, long maxBackoffMillis) {
    /** Reads wait for changes. Two seconds leave time to notice a silent connection within a contact time of 3 s. */
    public static final TopicFollowerSettings LONG_POLLING = new TopicFollowerSettings(2_000, 0, 50, 600);

    /** Reads at intervals, for topics that change many times a second. A second is half of the time to stop using a server. */
    public static final TopicFollowerSettings PERIODIC = new TopicFollowerSettings(0, 900, 50, 600);
}
