package org.agatehatch.experiment;

/** The weight store: loads run at full speed up to a number at once, and proportionally slower beyond it. */
final class WeightStore {
    private static final double START_MILLIS = 3_000;
    /** 8 GiB a second. */
    private static final double MIB_PER_MILLI = 8.192;

    private final VirtualTime time;
    private final int atOnce;
    private int inFlight;

    WeightStore(VirtualTime time, int atOnce) {
        this.time = time;
        this.atOnce = atOnce;
    }

    void load(long memoryMib, Runnable done) {
        inFlight++;
        double slowdown = Math.max(1, (double) inFlight / atOnce);
        time.after((START_MILLIS + memoryMib / MIB_PER_MILLI) * slowdown, () -> {
            inFlight--;
            done.run();
        });
    }
}
