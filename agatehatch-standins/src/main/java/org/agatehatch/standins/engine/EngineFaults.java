package org.agatehatch.standins.engine;

import org.agatehatch.standins.http.CommonFaults;
import org.agatehatch.standins.http.FaultTrigger;

/**
 * Faults and lags of an engine that can change while it runs. Durations are in real time.
 *
 * @param frozen see {@link CommonFaults#frozen}; nothing is computed meanwhile
 * @param answerDelayMillis see {@link CommonFaults#answerDelayMillis}
 * @param leaving whether new requests and loads are refused
 * @param crashNow crashes the engine once when it is set
 * @param crashOnText a request whose prompt contains this text crashes the engine at its first token; empty for none
 * @param restartMillis time from a crash until the engine listens again
 * @param slowdown factor by which prefill and decode are slower
 * @param loadLagMillis age of the figures in a load report
 * @param cacheEventLagMillis time until a cache event can be read
 * @param lostCacheEvents cache events that leave a gap
 * @param refusedRequests requests refused with 429, although there is room
 * @param cutStreams streams that end after {@code cutAfterTokens} tokens without their final frame
 * @param cutWithReset whether such a stream ends with its connection cut instead of a regular end
 * @param crossedFrames tokens before which a frame of another attempt is sent
 * @param lateFrames tokens after which the frame before is sent once more
 * @param skippedFrames tokens whose frame is not sent
 * @param crossedAnswers answers without stream that are replaced by that of another attempt
 * @param lostAnswers answers without stream whose connection is cut instead
 * @param lostOrders orders that take no effect and get no answer
 * @param lostOrderAnswers orders that take effect but get no answer
 * @param delayedOrders orders that take effect, and are answered, {@code orderDelayMillis} late
 * @param doubledOrders orders that arrive once more, {@code orderDelayMillis} later
 * @param reorderedOrders orders that take effect after the next one, or after {@code orderDelayMillis}
 */
public record EngineFaults(
        boolean frozen,
        long answerDelayMillis,
        boolean leaving,
        boolean crashNow,
        String crashOnText,
        long restartMillis,
        double slowdown,
        long loadLagMillis,
        long cacheEventLagMillis,
        FaultTrigger lostCacheEvents,
        FaultTrigger refusedRequests,
        FaultTrigger cutStreams,
        int cutAfterTokens,
        boolean cutWithReset,
        FaultTrigger crossedFrames,
        FaultTrigger lateFrames,
        FaultTrigger skippedFrames,
        FaultTrigger crossedAnswers,
        FaultTrigger lostAnswers,
        FaultTrigger lostOrders,
        FaultTrigger lostOrderAnswers,
        FaultTrigger delayedOrders,
        FaultTrigger doubledOrders,
        FaultTrigger reorderedOrders,
        long orderDelayMillis)
        implements CommonFaults {
    private static final long DEFAULT_RESTART_MILLIS = 200;
    private static final long DEFAULT_LOAD_LAG_MILLIS = 200;
    private static final long DEFAULT_CACHE_EVENT_LAG_MILLIS = 100;
    private static final long DEFAULT_ORDER_DELAY_MILLIS = 500;

    public EngineFaults {
        CommonFaults.notNegative("answer_delay_millis", answerDelayMillis);
        CommonFaults.notNegative("restart_millis", restartMillis);
        CommonFaults.notNegative("load_lag_millis", loadLagMillis);
        CommonFaults.notNegative("cache_event_lag_millis", cacheEventLagMillis);
        CommonFaults.notNegative("cut_after_tokens", cutAfterTokens);
        CommonFaults.notNegative("order_delay_millis", orderDelayMillis);
        if (!(slowdown > 0)) {
            throw new IllegalArgumentException("slowdown is " + slowdown + "; it must be positive");
        }
        if (crashOnText == null) {
            throw new IllegalArgumentException("crash_on_text is null; use an empty text for no such crash");
        }
    }

    /** Returns a healthy engine with a load report 200 ms old and cache events 100 ms late. */
    public static EngineFaults none() {
        return new EngineFaults(
                false,
                0,
                false,
                false,
                "",
                DEFAULT_RESTART_MILLIS,
                1,
                DEFAULT_LOAD_LAG_MILLIS,
                DEFAULT_CACHE_EVENT_LAG_MILLIS,
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                0,
                false,
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                DEFAULT_ORDER_DELAY_MILLIS);
    }
}
