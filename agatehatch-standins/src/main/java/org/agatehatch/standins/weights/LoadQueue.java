package org.agatehatch.standins.weights;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Loads that wait, and loads in progress that share the store's bandwidth. Time is given by the caller, in milliseconds
 * of the model. Not safe for use by several threads.
 */
final class LoadQueue {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Deque<Load> waiting = new ArrayDeque<>();
    private final List<Load> inFlight = new ArrayList<>();
    private double nextStartMillis = Double.NEGATIVE_INFINITY;
    private double nowMillis;
    private long started;
    private int mostInFlight;

    /** One load, with the time it still needs at full speed. */
    static final class Load {
        private final Runnable onDone;
        private final double acceptedMillis;
        private double leftMillis;

        private Load(Runnable onDone, double acceptedMillis, double leftMillis) {
            this.onDone = onDone;
            this.acceptedMillis = acceptedMillis;
            this.leftMillis = leftMillis;
        }
    }

    /** Progress figures, with the field names of the protocol. */
    record Figures(int waiting, int inFlight, long started, int mostInFlight) {}

    void add(double loadMillis, Runnable onDone) {
        waiting.addLast(new Load(onDone, nowMillis, loadMillis));
    }

    /** Moves time on and returns what to call for the loads that are done. */
    List<Runnable> advance(double elapsedMillis, double loadsPerSecond, int fullSpeedLoads) {
        List<Runnable> done = new ArrayList<>();
        double end = nowMillis + elapsedMillis;
        // Each step ends where the number in progress changes, so the result does not depend on how often this runs.
        while (nowMillis < end) {
            startDue(loadsPerSecond);
            double speed = inFlight.isEmpty() ? 1 : Math.min(1, (double) fullSpeedLoads / inFlight.size());
            double step = Math.min(end - nowMillis, nextChangeMillis(speed));
            nowMillis += step;
            for (Iterator<Load> loads = inFlight.iterator(); loads.hasNext(); ) {
                Load load = loads.next();
                load.leftMillis -= step * speed;
                if (load.leftMillis <= 1e-6) {
                    loads.remove();
                    done.add(load.onDone);
                }
            }
        }
        startDue(loadsPerSecond);
        return done;
    }

    boolean isIdle() {
        return waiting.isEmpty() && inFlight.isEmpty();
    }

    Figures figures() {
        return new Figures(waiting.size(), inFlight.size(), started, mostInFlight);
    }

    private void startDue(double loadsPerSecond) {
        while (!waiting.isEmpty() && nextStartMillis <= nowMillis) {
            Load load = waiting.removeFirst();
            inFlight.add(load);
            started++;
            mostInFlight = Math.max(mostInFlight, inFlight.size());
            nextStartMillis = Math.max(nextStartMillis, load.acceptedMillis) + MILLIS_PER_SECOND / loadsPerSecond;
        }
    }

    private double nextChangeMillis(double speed) {
        double next = Double.POSITIVE_INFINITY;
        for (Load load : inFlight) {
            next = Math.min(next, load.leftMillis / speed);
        }
        if (!waiting.isEmpty()) {
            next = Math.min(next, nextStartMillis - nowMillis);
        }
        return Math.max(next, 1e-3);
    }
}
