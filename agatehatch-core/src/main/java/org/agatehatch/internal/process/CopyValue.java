package org.agatehatch.internal.process;

/**
 * What the copies of one model are worth, in milliseconds of runner time a second whose requests are served in time because of
 * them. The first copies of a model in demand are worth most; beyond the need, another copy only shortens queues.
 *
 * @param needCopies copies that serve the demand in time, as a fraction
 * @param workMillis demand in milliseconds of runner time a second
 */
record CopyValue(double needCopies, double workMillis) {
    /** Share of the demand that is served in time when the copies match the need; the rest is late in bursts. */
    private static final double SHARE_AT_NEED = 0.95;

    /** Rate at which further copies, in multiples of the need, take the rest of the demand out of its queues. */
    private static final double HEADROOM_RATE = 1.2;

    /** Returns the value of the copy with a number, counted from 1. */
    double ofCopy(int number) {
        return workMillis * (servedShare(number) - servedShare(number - 1));
    }

    private double servedShare(int copies) {
        if (needCopies <= 0) {
            return copies > 0 ? 1 : 0;
        }
        double ratio = copies / needCopies;
        return ratio < 1 ? SHARE_AT_NEED * ratio : 1 - (1 - SHARE_AT_NEED) * Math.exp(-HEADROOM_RATE * (ratio - 1));
    }
}
