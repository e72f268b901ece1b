package org.agatehatch.experiment;

import java.util.Random;

/** Adapter loads of all runners together: 5 to 10 ms each up to the knee, proportionally longer beyond it. */
final class AdapterLoads {
    private static final double SHORTEST_MILLIS = 5;
    private static final double SPREAD_MILLIS = 5;

    private final VirtualTime time;
    private final int knee;
    private final Random random;
    private int inFlight;

    AdapterLoads(VirtualTime time, int knee, Random random) {
        this.time = time;
        this.knee = knee;
        this.random = random;
    }

    void load(Runnable done) {
        inFlight++;
        double slowdown = Math.max(1, (double) inFlight / knee);
        time.after((SHORTEST_MILLIS + SPREAD_MILLIS * random.nextDouble()) * slowdown, () -> {
            inFlight--;
            done.run();
        });
    }
}
