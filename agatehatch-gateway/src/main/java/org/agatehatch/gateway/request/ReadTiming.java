package org.agatehatch.gateway.request;

/**
 * Tells whether parts of an answer may have been read long after their server had sent them, because this process stood still, its
 * network was cut, or its caller was slow.
 */
final class ReadTiming {
    /** Below the time between the end of a server's process and the start of its next one. */
    private static final long MIN_RESTART_MILLIS = 300;

    /** Time within which all that has waited to be read is read. */
    private static final long BACKLOG_MILLIS = 1_000;

    private long lastReadMillis;
    private long lateReadMillis = Long.MIN_VALUE / 2;

    void onSent(long nowMillis) {
        lastReadMillis = nowMillis;
    }

    void onRead(long nowMillis) {
        if (nowMillis - lastReadMillis >= MIN_RESTART_MILLIS) {
            lateReadMillis = nowMillis;
        }
        lastReadMillis = nowMillis;
    }

    /** Called when reading goes on after a pause for a slow caller. */
    void onReadingResumed(long nowMillis) {
        lateReadMillis = nowMillis;
    }

    /** Returns whether the server may have started again between what was read last and now. */
    boolean allowsRestart(long nowMillis) {
        return nowMillis - lateReadMillis < BACKLOG_MILLIS || nowMillis - lastReadMillis >= MIN_RESTART_MILLIS;
    }
}
