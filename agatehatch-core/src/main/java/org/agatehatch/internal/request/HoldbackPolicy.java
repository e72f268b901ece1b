package org.agatehatch.internal.request;

/**
 * Keeps capacity of a saturated pool free for requests of higher priorities. Each active priority has an admission
 * ceiling: its requests are dispatched only while the pool's saturation is below the ceiling. Disabled by default
 * ({@link #none()}); the feature is to be removed unless measurements show a benefit over no holdback and over
 * deadline-aware admission.
 */
@FunctionalInterface
public interface HoldbackPolicy {
    /** Lower bound of every ceiling, so that an idle pool serves all priorities. */
    double MIN_CEILING = 0.05;

    /**
     * Returns the ceiling of one priority.
     *
     * @param rank 0 for the highest active priority, 1 for the next
     * @param higherSaturation saturation caused by requests of higher priorities
     */
    double ceiling(int rank, double higherSaturation);

    /**
     * Returns the ceilings of all active priorities, highest priority first. The highest priority is never held back,
     * so with one active priority there is no holdback. A lower priority never gets a higher ceiling.
     *
     * @param saturationByRank saturation caused by each active priority, highest priority first
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

    /** Returns the policy without ceilings. */
    static HoldbackPolicy none() {
        return (rank, higherSaturation) -> Double.POSITIVE_INFINITY;
    }

    /** Returns a policy with fixed ceilings, {@code gapPerRank} lower for each rank. */
    static HoldbackPolicy fixed(double gapPerRank) {
        return (rank, higherSaturation) -> 1 - rank * gapPerRank;
    }

    /** Returns a policy whose ceilings fall by {@code gap} per full {@code step} of saturation by higher priorities. */
    static HoldbackPolicy stepwise(double step, double gap) {
        return (rank, higherSaturation) -> 1 - gap * Math.floor(higherSaturation / step);
    }

    /** Returns a policy whose ceilings fall in proportion to the saturation by higher priorities. */
    static HoldbackPolicy proportional(double factor) {
        return (rank, higherSaturation) -> 1 - factor * higherSaturation;
    }
}
