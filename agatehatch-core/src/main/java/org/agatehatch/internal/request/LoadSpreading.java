package org.agatehatch.internal.request;

/**
 * Distributes the work that other nodes have probably sent since their last report. Each node that knows only the last report
 * would otherwise send its requests to the same server as all others.
 */
public final class LoadSpreading {
    private LoadSpreading() {}

    /**
     * Allocates work by water-filling, always to the candidate that would finish first, and sets each candidate's share of it.
     * Without work, the candidate with the lowest time has the whole share.
     *
     * @param times predicted time of each candidate
     * @param costs time that a unit of work adds at each candidate; positive
     * @param count number of candidates, which are the first elements of the arrays
     * @param work units of work
     * @param shares receives the shares, which add up to 1
     */
    public static void allocate(double[] times, double[] costs, int count, double work, double[] shares) {
        int first = 0;
        for (int i = 0; i < count; i++) {
            shares[i] = 0;
            first = times[i] < times[first] ? i : first;
        }
        double level = work > 0 ? level(times, costs, count, work) : times[first];
        double allocated = 0;
        for (int i = 0; i < count; i++) {
            shares[i] = Math.max(0, (level - times[i]) / costs[i]);
            allocated += shares[i];
        }
        if (!(allocated > 0)) {
            shares[first] = 1;
            return;
        }
        for (int i = 0; i < count; i++) {
            shares[i] /= allocated;
        }
    }

    /**
     * Returns the index drawn with the given shares.
     *
     * @param uniform from 0 inclusive to 1 exclusive
     */
    public static int draw(double[] shares, int count, double uniform) {
        double rest = uniform;
        int last = 0;
        for (int i = 0; i < count; i++) {
            if (shares[i] > 0) {
                last = i;
                rest -= shares[i];
                if (rest < 0) {
                    return i;
                }
            }
        }
        return last;
    }

    /**
     * Returns the time up to which the work fills the candidates. Each round leaves out those that are slower than the level over
     * the remaining ones, which only lowers it, so the rounds end.
     */
    private static double level(double[] times, double[] costs, int count, double work) {
        double level = Double.POSITIVE_INFINITY;
        int active = -1;
        while (true) {
            double capacity = 0;
            double weightedTimes = 0;
            int below = 0;
            for (int i = 0; i < count; i++) {
                if (times[i] < level) {
                    capacity += 1 / costs[i];
                    weightedTimes += times[i] / costs[i];
                    below++;
                }
            }
            if (below == active || below == 0) {
                return level;
            }
            active = below;
            level = (work + weightedTimes) / capacity;
        }
    }
}
