package org.agatehatch.experiment;

/**
 * The service-time model of one engine. A step gives each decoding request one token and computes at most a chunk of
 * prompt tokens; it takes {@code base + perRequest x decoding + chunk / prefill rate}. The rates are those of the
 * engine stand-in, whose steps compute prompts and answers in turn as well.
 */
final class EngineRates {
    static final double PREFILL_TOKENS_PER_MILLI = 20;
    static final double STEP_BASE_MILLIS = 12;
    static final double STEP_PER_REQUEST_MILLIS = 0.5;
    static final int MAX_BATCH = 64;
    /** 25.6 ms: at a batch of 32 a step with a whole chunk still takes less than the promised 61 ms. */
    static final int PREFILL_CHUNK_TOKENS = 512;
    /** Blocks of 64 tokens; the manuals of the tutor models alone would take a third. */
    static final int CACHE_BLOCKS = 2_000;

    static final int TOKENS_PER_BLOCK = 64;
    /** Adapters that stay resident on one runner; the least recently used one goes first. */
    static final int MAX_ADAPTERS = 24;
    /** The batch at which load factor 1 keeps all engines busy without a pause. */
    static final int CAPACITY_BATCH = 32;

    private EngineRates() {}

    static double stepMillis(int decoding, int promptTokens) {
        return STEP_BASE_MILLIS + STEP_PER_REQUEST_MILLIS * decoding + promptTokens / PREFILL_TOKENS_PER_MILLI;
    }

    /** Returns the rate at which prompts are computed while a batch is decoded. */
    static double prefillTokensPerSecond(int decoding) {
        return 1_000 * PREFILL_CHUNK_TOKENS / stepMillis(decoding, PREFILL_CHUNK_TOKENS);
    }

    /** Returns the engine time that one request takes at the batch of full capacity. */
    static double costMillis(double uncachedTokens, double outputTokens) {
        double perToken = STEP_BASE_MILLIS / CAPACITY_BATCH + STEP_PER_REQUEST_MILLIS;
        return uncachedTokens / PREFILL_TOKENS_PER_MILLI + outputTokens * perToken;
    }
}
