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

    /** Advances the time and runs all tasks that are due within it, in order. */
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

    /** Returns the control thread and clock of a node. */
    Node node(double clockRate) {
        return new Node(clockRate);
    }

    /** A node's control thread and clock, which may run fast or slow. A paused node runs its tasks when it resumes. */
    final class Node implements ControlThread, MonotonicClock {
        private final double clockRate;
        private final List<Runnable> deferredTasks = new ArrayList<>();
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
            deferredTasks.forEach(this::execute);
            deferredTasks.clear();
        }

        boolean isPaused() {
            return paused;
        }

        private void run(Runnable task) {
            if (paused) {
                deferredTasks.add(task);
            } else {
                task.run();
            }
        }
    }

    private record Event(long atMillis, long order, Runnable task) {}
}
