package org.agatehatch.internal.process;

import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control thread on a platform thread. An exception or error in a task is logged, and the thread continues with the next
 * task.
 */
public final class DefaultControlThread implements ControlThread, AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(DefaultControlThread.class);

    private final ScheduledThreadPoolExecutor executor;

    /** Creates and starts the thread. */
    public DefaultControlThread(String threadName) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, threadName);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(() -> runLogged(task));
        } catch (RejectedExecutionException e) {
            log.debug("control thread is closed; dropped a task", e);
        }
    }

    @Override
    public ScheduledTask schedule(long delayMillis, Runnable task) {
        try {
            Future<?> future = executor.schedule(() -> runLogged(task), delayMillis, TimeUnit.MILLISECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException e) {
            log.debug("control thread is closed; dropped a delayed task", e);
            return () -> {};
        }
    }

    /** Stops the thread after the tasks that were posted before. Delayed tasks are dropped. */
    @Override
    public void close() {
        executor.shutdown();
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            log.error("task on the control thread failed; its effect may be missing until a later task repeats it", e);
        }
    }
}
