package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.agatehatch.api.time.MonotonicClock;

/** Runs tasks under virtual time, for one or several nodes. */
final class VirtualTime implements MonotonicClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private long nowMillis = 1_000;
    private long order;
    private Runnable afterEachTask = () -> {};

    @Override
    public long nanos() {
        return nowMillis * NANOS_PER_MILLI;
    }

    /** Runs a check after every task. */
    void afterEachTask(Runnable check) {
        afterEachTask = check;
    }

    void runAfter(long delayMillis, Runnable task) {
        events.add(new Event(nowMillis + Math.max(0, delayMillis), order++, task));
    }

    /** Runs all tasks that are due within the time, in order. */
    void advance(long millis) {
        long endMillis = nowMillis + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.task().run();
            afterEachTask.run();
        }
        nowMillis = endMillis;
    }

    /** Returns the control thread of a node; a paused node runs its tasks when it goes on. */
    Node node(double clockRate) {
        return new Node(clockRate);
    }

    /** A node's control thread, and its clock that may run fast or slow. */
    final class Node implements ControlThread, MonotonicClock {
        private final double clockRate;
        private final List<Runnable> held = new ArrayList<>();
        private boolean paused;

        Node(double clockRate) {
            this.clockRate = clockRate;
        }

        @Override
        public long nanos() {
            return (long) (VirtualTime.this.nanos() * clockRate);
        }

        @Override
        public void execute(Runnable task) {
            runAfter(0, () -> run(task));
        }

        @Override
        public ScheduledTask schedule(long delayMillis, Runnable task) {
            boolean[] cancelled = {false};
            runAfter(
                    (long) (delayMillis / clockRate),
                    () -> run(() -> {
                        if (!cancelled[0]) {
                            task.run();
                        }
                    }));
            return () -> cancelled[0] = true;
        }

        void pause() {
            paused = true;
        }

        void resume() {
            paused = false;
            held.forEach(this::execute);
            held.clear();
        }

        boolean isPaused() {
            return paused;
        }

        private void run(Runnable task) {
            if (paused) {
                held.add(task);
            } else {
                task.run();
            }
        }
    }

    private record Event(long atMillis, long order, Runnable task) {}
}
