package org.agatehatch.gateway.request;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.RequestDialect;
import org.agatehatch.gateway.connection.BackendPool;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.internal.process.DemandMeter;
import org.agatehatch.internal.process.PoisonRequestDetector;
import org.agatehatch.internal.request.ServerChooser;
import org.agatehatch.internal.request.WindowedRetryBudget;
import org.agatehatch.internal.version.ActiveConfig;

/**
 * What all exchanges of a process share.
 *
 * @param refusing whether new requests are refused because the process is about to end
 */
public record ExchangeParts(
        EventLoop loop,
        MonotonicClock clock,
        RandomGenerator random,
        RequestDialect dialect,
        ActiveConfig config,
        ServerChooser chooser,
        BackendPool pool,
        WindowedRetryBudget retries,
        ResidencyRequests residency,
        DemandMeter demand,
        PoisonRequestDetector crashes,
        BooleanSupplier refusing,
        GatewayMetrics metrics,
        ExchangeTimes times) {}
