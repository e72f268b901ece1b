package org.agatehatch.standins.engine;

/** Takes the tokens of one attempt to its caller. The engine calls it under its lock; calls must not block. */
interface TokenSink {
    /** The attempt entered the batch, runs on this version, and found part of its prompt cached. */
    void admitted(String version, int cachedTokens);

    /** Takes the tokens from one index up to, and without, another: all of them or none. */
    Delivery deliver(int fromIndex, int toIndex);

    /** All tokens were taken. */
    void finish();

    /** The attempt was cancelled; {@code ran} tells whether it had entered the batch. */
    void cancel(boolean ran);

    /** What became of tokens. */
    enum Delivery {
        /** They are on their way. */
        TAKEN,
        /** The caller is too slow; offer them again later. */
        FULL,
        /** The caller has gone or the stream was cut. */
        CLOSED
    }
}
