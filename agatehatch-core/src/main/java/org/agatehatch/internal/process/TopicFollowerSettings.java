package org.agatehatch.internal.process;

/**
 * Timing of a {@link TopicFollower}.
 *
 * @param waitMillis long-poll timeout of a read; 0 if reads return at once
 * @param pauseMillis delay between two reads
 * @param initialBackoffMillis delay after the first failure; doubled with each consecutive failure
 * @param maxBackoffMillis maximum delay after a failure
 */
public record TopicFollowerSettings(
        long waitMillis, long pauseMillis, long initialBackoffMillis, long maxBackoffMillis) {
    /** Long polling. A timeout of 2 s leaves time to detect a silent connection within a contact time of 3 s. */
    public static final TopicFollowerSettings LONG_POLLING = new TopicFollowerSettings(2_000, 0, 50, 600);

    /**
     * Polling at intervals, for topics that change many times a second. A node sees a change within a second, half of
     * the time within which it must stop using a server.
     */
    public static final TopicFollowerSettings PERIODIC = new TopicFollowerSettings(0, 900, 50, 600);

    /**
     * Polling in a group with relays, where a change waits for the relay's interval and for the reader's. A question to a relay
     * costs less than a read of the store.
     */
    public static final TopicFollowerSettings PERIODIC_WITH_RELAYS = new TopicFollowerSettings(0, 500, 50, 600);
}
