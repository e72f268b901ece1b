package org.agatehatch.gateway.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Asynchronous appender with a bounded queue that never blocks the logging thread. When the queue is full, lines are dropped,
 * and a later line reports how many.
 */
final class BoundedAppender extends AsyncAppender {
    private final AtomicLong dropped = new AtomicLong();
    private final Logger reportLogger;

    /**
     * Creates an appender.
     *
     * @param reportLogger logger under which dropped lines are reported
     * @param capacity maximum number of queued lines
     */
    BoundedAppender(Logger reportLogger, int capacity) {
        this.reportLogger = reportLogger;
        setQueueSize(capacity);
        setNeverBlock(true);
        // By default, AsyncAppender silently drops events up to INFO once its queue is 80 % full.
        setDiscardingThreshold(0);
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() < 2) {
            dropped.incrementAndGet();
            return;
        }
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            super.append(new LoggingEvent(
                    BoundedAppender.class.getName(),
                    reportLogger,
                    Level.WARN,
                    "event=log_lines_dropped count=" + droppedLines,
                    null,
                    null));
        }
        super.append(event);
    }
}
