package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a failed task that ends the control thread, and against tasks that run out of order. */
public final class DefaultControlThreadTest {
    @Test
    public void tasks_run_in_order_on_one_thread_and_continue_after_a_failure() throws InterruptedException {
        List<String> executed = new ArrayList<>();
        CountDownLatch lastTaskRan = new CountDownLatch(1);
        try (DefaultControlThread control = new DefaultControlThread("control-test")) {
            control.schedule(60_000, () -> executed.add("much later")).cancel();
            control.execute(() -> {
                throw new IllegalStateException("expected by the test");
            });
            control.schedule(0, () -> {
                throw new StackOverflowError("expected by the test");
            });
            control.execute(() -> {
                throw new AssertionError("expected by the test");
            });
            for (int i = 0; i < 3; i++) {
                String text = "task " + i;
                control.execute(() ->
                        executed.add(text + " on " + Thread.currentThread().getName()));
            }
            control.schedule(1, lastTaskRan::countDown);
            Assert.assertTrue(lastTaskRan.await(10, TimeUnit.SECONDS));
        }
        assertEquals(executed, List.of("task 0 on control-test", "task 1 on control-test", "task 2 on control-test"));
    }
}
