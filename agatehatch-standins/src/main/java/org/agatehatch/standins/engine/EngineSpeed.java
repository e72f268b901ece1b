package org.agatehatch.standins.engine;

/**
 * Service-time model of an engine. All rates and durations are in the time of the model, which runs {@code timeScale}
 * times as fast as real time.
 *
 * <ul>
 *   <li>Prompts are computed one after the other at {@code prefillTokensPerSecond}; cached blocks cost nothing.
 *   <li>A decoding step gives one token to each request of the batch and takes {@code decodeStepBaseMillis +
 *       decodeStepPerRequestMillis * batch size}.
 *   <li>While a prompt is being computed, decoding runs at 0.7 of that rate.
 * </ul>
 *
 * @param maxBatch requests computed at once
 * @param maxQueued requests waiting; further ones are refused with 429
 */
public record EngineSpeed(
        double timeScale,
        double prefillTokensPerSecond,
        double decodeStepBaseMillis,
        double decodeStepPerRequestMillis,
        int maxBatch,
        int maxQueued) {
    /** Part of the decode rate that is left while a prompt is being computed. */
    static final double DECODE_SHARE_DURING_PREFILL = 0.7;

    private static final double MILLIS_PER_SECOND = 1_000;

    public EngineSpeed {
        if (!(timeScale > 0) || !(prefillTokensPerSecond > 0) || !(decodeStepBaseMillis > 0)) {
            throw new IllegalArgumentException("time_scale, prefill_tokens_per_second and decode_step_base_millis must"
                    + " be positive, but are " + timeScale + ", " + prefillTokensPerSecond + " and "
                    + decodeStepBaseMillis);
        }
        if (!(decodeStepPerRequestMillis >= 0) || maxBatch < 1 || maxQueued < 0) {
            throw new IllegalArgumentException("decode_step_per_request_millis and max_queued must not be negative and"
                    + " max_batch must be positive, but they are " + decodeStepPerRequestMillis + ", " + maxQueued
                    + " and " + maxBatch);
        }
    }

    /** Returns 20,000 prompt tokens a second, and a step of 12 ms plus 0.5 ms for each request of at most 64. */
    public static EngineSpeed standard() {
        return new EngineSpeed(1, 20_000, 12, 0.5, 64, 512);
    }

    /** Returns this model at another speed. */
    public EngineSpeed withTimeScale(double newTimeScale) {
        return new EngineSpeed(
                newTimeScale,
                prefillTokensPerSecond,
                decodeStepBaseMillis,
                decodeStepPerRequestMillis,
                maxBatch,
                maxQueued);
    }

    /** Returns this model with other limits of batch and queue. */
    public EngineSpeed withLimits(int newMaxBatch, int newMaxQueued) {
        return new EngineSpeed(
                timeScale,
                prefillTokensPerSecond,
                decodeStepBaseMillis,
                decodeStepPerRequestMillis,
                newMaxBatch,
                newMaxQueued);
    }

    /** Returns the tokens that one request gets in a second of the model. */
    double decodeTokensPerSecond(int batchSize) {
        return MILLIS_PER_SECOND / (decodeStepBaseMillis + decodeStepPerRequestMillis * Math.max(1, batchSize));
    }
}
