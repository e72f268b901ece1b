package org.agatehatch.gateway.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Configures logging to standard output as text or JSON, through a bounded queue so that traffic threads never block. */
public final class LogSetup {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg%n%ex{full}";
    private static final int QUEUE_CAPACITY_LINES = 8_192;

    private LogSetup() {}

    /**
     * Replaces the configuration of all loggers.
     *
     * @param format {@code json}, or anything else for text
     */
    public static void configure(String format) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder = format.equals("json") ? new JsonEncoder() : textEncoder(context);
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        BoundedAppender queue = new BoundedAppender(context.getLogger(LogSetup.class), QUEUE_CAPACITY_LINES);
        queue.setContext(context);
        queue.addAppender(console);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(queue);
        context.getLogger("org.agatehatch").setLevel(Level.INFO);
    }

    /** Writes the queued lines and stops logging. Called before the process exits. */
    public static void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    private static PatternLayoutEncoder textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        return encoder;
    }
}
