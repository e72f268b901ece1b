package org.agatehatch.gateway.request;

import org.agatehatch.internal.request.ServerChoice;

/** Times without data after which an attempt counts as silent. */
final class SilenceLimits {
    private SilenceLimits() {}

    /** Returns the limit before the first byte of the answer. */
    static long firstByteMillis(Exchange exchange, ServerChoice.Chosen choice) {
        ExchangeTimeouts times = exchange.context().timeouts();
        double byTarget = exchange.route().targetMillis() * times.firstByteTargetFactor();
        return (long) Math.max(byTarget, times.minSilenceMillis() + choice.predictedMillis());
    }

    /** Returns the limit between two parts of the answer. */
    static long stallMillis(Exchange exchange) {
        ExchangeTimeouts times = exchange.context().timeouts();
        double byPause = exchange.route().maxPauseMillis() * times.stallFactor();
        return (long) Math.max(byPause, times.minSilenceMillis());
    }
}
