package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against more loads from the weight store than a window allows, also after a change of the placement holder. */
public final class StoreLoadLimiterTest {
    private static final double WINDOW_SECONDS = 5;
    private static final double OVERSHOOT = 1.1;

    @Test
    public void successive_holders_stay_within_the_limit_in_every_window() {
        for (double loadsPerSecond : new double[] {0.5, 1.1, 8.5, 20}) {
            VirtualTime time = new VirtualTime();
            List<Long> loads = new ArrayList<>();
            StoreLoadLimiter limiter = new StoreLoadLimiter(time, WINDOW_SECONDS, OVERSHOOT);
            for (int step = 0; step < 6_000; step++) {
                if (step % 700 == 699) {
                    limiter = new StoreLoadLimiter(time, WINDOW_SECONDS, OVERSHOOT);
                }
                limiter.setLoadsPerSecond(loadsPerSecond);
                while (limiter.availableLoads() > 0 && step % 400 > 100) {
                    limiter.consume();
                    loads.add(time.millis());
                }
                time.advance(10);
            }
            double allowed = loadsPerSecond * WINDOW_SECONDS * OVERSHOOT + 3;
            for (long start : loads) {
                long inWindow = loads.stream()
                        .filter(at -> at >= start && at < start + 5_000)
                        .count();
                assertTrue(inWindow <= allowed, inWindow + " loads at a rate of " + loadsPerSecond);
            }
        }
    }

    @Test
    public void a_new_holder_starts_with_an_empty_bucket() {
        VirtualTime time = new VirtualTime();
        StoreLoadLimiter limiter = new StoreLoadLimiter(time, WINDOW_SECONDS, OVERSHOOT);
        limiter.setLoadsPerSecond(1.1);
        assertEquals(limiter.availableLoads(), 0);
        time.advance(1_000);
        assertEquals(limiter.availableLoads(), 1);
        limiter.clear();
        assertEquals(limiter.availableLoads(), 0);
    }
}
