package org.agatehatch.gateway.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

/** Guards against logging that blocks traffic threads, and against log lines that are dropped without a report. */
public final class BoundedAppenderTest {
    @Test
    public void a_full_queue_drops_lines_and_reports_how_many() throws InterruptedException {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        Logger logger = context.getLogger("bounded-appender-test");
        logger.setAdditive(false);
        logger.setLevel(Level.INFO);
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        List<String> written = new CopyOnWriteArrayList<>();
        AppenderBase<ILoggingEvent> slow = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                entered.countDown();
                try {
                    blocked.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                written.add(event.getFormattedMessage());
            }
        };
        slow.setContext(context);
        slow.start();
        BoundedAppender queue = new BoundedAppender(logger, 10);
        queue.setContext(context);
        queue.addAppender(slow);
        queue.start();
        logger.addAppender(queue);
        // Waits for the writer to take the first line: a writer that starts later would drain the queue while it is
        // being filled.
        logger.info("first");
        entered.await();
        for (int i = 0; i < 100; i++) {
            logger.info("line {}", i);
        }
        blocked.countDown();
        while (queue.getNumberOfElementsInQueue() > 0) {
            Thread.onSpinWait();
        }
        logger.info("last");
        queue.stop();
        List<String> reports =
                written.stream().filter(line -> line.contains("dropped")).toList();
        assertEquals(reports.size(), 1, written.toString());
        long count = Long.parseLong(reports.get(0).substring(reports.get(0).lastIndexOf('=') + 1));
        assertEquals(written.size() - 1 + count, 102L);
        assertTrue(written.contains("last"));
    }
}
