package org.agatehatch.gateway;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions with a generous limit. */
final class Waiting {
    private static final long LIMIT_SECONDS = 10;

    private Waiting() {}

    static void until(String what, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNanos, "not seen: " + what);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }
}
