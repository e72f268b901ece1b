package org.agatehatch.gateway.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/** A queue of log lines that never blocks the caller. When it is full, lines are dropped, and a later line says how many. */
final class BoundedAppender extends AsyncAppender {
    private final AtomicLong dropped = new AtomicLong();
    private final Logger reportLogger;

    /**
     * Creates a queue.
     *
     * @param source logger under which dropped lines are reported
     */
    BoundedAppender(Logger source, int lines) {
        this.reportLogger = source;
        setQueueSize(lines);
        setNeverBlock(true);
        // Without this, lines up to INFO would be dropped silently from four fifths of the queue on.
        setDiscardingThreshold(0);
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() < 2) {
            dropped.incrementAndGet();
            return;
        }
        long missing = dropped.getAndSet(0);
        if (missing > 0) {
            super.append(new LoggingEvent(
                    BoundedAppender.class.getName(),
                    reportLogger,
                    Level.WARN,
                    "event=log_lines_dropped count=" + missing,
                    null,
                    null));
        }
        super.append(event);
    }
}
