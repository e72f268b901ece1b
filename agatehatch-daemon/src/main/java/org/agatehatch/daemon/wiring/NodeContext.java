package org.agatehatch.daemon.wiring;

import java.security.SecureRandom;
import java.util.random.RandomGenerator;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.api.time.WallClock;
import org.agatehatch.daemon.platform.HttpEngineOrders;
import org.agatehatch.daemon.settings.NodeSettings;
import org.agatehatch.internal.process.ControlThread;

/**
 * Dependencies that all parts of a node share.
 *
 * @param incarnation random identifier of this process
 * @param secureRandom source of identifiers that must not repeat after a restart
 * @param random source of jitter
 */
public record NodeContext(
        NodeSettings settings,
        String incarnation,
        ControlThread control,
        AppendLog log,
        HttpEngineOrders engines,
        MonotonicClock clock,
        WallClock wallClock,
        SecureRandom secureRandom,
        RandomGenerator random) {
    /** Returns a random 128-bit identifier in hexadecimal. */
    public String randomId() {
        return String.format("%016x%016x", secureRandom.nextLong(), secureRandom.nextLong());
    }
}
