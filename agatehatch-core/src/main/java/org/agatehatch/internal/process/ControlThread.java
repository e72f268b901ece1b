package org.agatehatch.internal.process;

/**
 * The one thread that owns the control state. Other threads post tasks; tasks run one at a time, in order.
 *
 * <p>Tests supply one that runs tasks under virtual time.
 */
public interface ControlThread {
    /** Runs a task after those that were posted before. */
    void execute(Runnable task);

    /** Runs a task after a delay, unless it is cancelled before. */
    ScheduledTask schedule(long delayMillis, Runnable task);

    /** A task that waits for its time. */
    @FunctionalInterface
    interface ScheduledTask {
        /** Prevents the task from running if it has not started. */
        void cancel();
    }
}
