package org.agatehatch.internal.process;

/**
 * The single thread that owns the control state. Other threads post tasks, which run one at a time and in order.
 *
 * <p>Tests use an implementation that runs tasks under virtual time.
 */
public interface ControlThread {
    /** Runs a task after the tasks that were posted before. */
    void execute(Runnable task);

    /** Runs a task after a delay, unless it is cancelled first. */
    ScheduledTask schedule(long delayMillis, Runnable task);

    /** A delayed task. */
    @FunctionalInterface
    interface ScheduledTask {
        /** Prevents the task from running if it has not started yet. */
        void cancel();
    }
}
