package org.agatehatch.internal.request;

/**
 * Holds lower priorities back while a pool is saturated, so that a request of a higher priority that comes next finds
 * room. Each active priority has an admission ceiling; requests of it leave the queue only while the pool's saturation is
 * below. Off by default ({@link #none()}); it stays only if measurements against no holdback and against deadline-aware
 * admission support it.
 */
@FunctionalInterface
public interface HoldbackPolicy {
    /** Ceilings do not fall below this, so that an idle pool serves every priority. */
    double MIN_CEILING = 0.05;

    /**
     * Returns the ceiling of one priority.
     *
     * @param rank 0 for the highest active priority, 1 for the next
     * @param higherSaturation saturation that requests of higher priorities cause
     */
    double ceiling(int rank, double higherSaturation);

    /**
     * Returns the ceilings of all active priorities, highest priority first. The highest priority is never held back, so
     * with one active priority there is no holdback. A lower priority never gets a higher ceiling.
     *
     * @param saturationByRank saturation that each active priority causes, highest priority first
     */
    default double[] ceilings(double[] saturationByRank) {
        double[] ceilings = new double[saturationByRank.length];
        double ceiling = Double.POSITIVE_INFINITY;
        double higherSaturation = 0;
        for (int rank = 0; rank < ceilings.length; rank++) {
            if (rank > 0) {
                ceiling = Math.min(ceiling, Math.max(MIN_CEILING, ceiling(rank, higherSaturation)));
            }
            ceilings[rank] = ceiling;
            higherSaturation += saturationByRank[rank];
        }
        return ceilings;
    }

    /** Returns the policy that never holds back. */
    static HoldbackPolicy none() {
        return (rank, higherSaturation) -> Double.POSITIVE_INFINITY;
    }

    /** Returns fixed ceilings: {@code gapPerRank} lower with each rank. */
    static HoldbackPolicy fixed(double gapPerRank) {
        return (rank, higherSaturation) -> 1 - rank * gapPerRank;
    }

    /** Returns ceilings that fall by {@code gap} with each whole {@code step} of the higher priorities' saturation. */
    static HoldbackPolicy stepwise(double step, double gap) {
        return (rank, higherSaturation) -> 1 - gap * Math.floor(higherSaturation / step);
    }

    /** Returns ceilings that fall in proportion to the higher priorities' saturation. */
    static HoldbackPolicy proportional(double factor) {
        return (rank, higherSaturation) -> 1 - factor * higherSaturation;
    }
}
