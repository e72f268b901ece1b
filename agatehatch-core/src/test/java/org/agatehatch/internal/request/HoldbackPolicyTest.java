package org.agatehatch.internal.request;

import static org.agatehatch.internal.request.AdmissionFixture.IDLE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class HoldbackPolicyTest {
    @DataProvider
    public Object[][] policies() {
        return new Object[][] {
            {HoldbackPolicy.none()},
            {HoldbackPolicy.fixed(0.3)},
            {HoldbackPolicy.stepwise(0.25, 0.2)},
            {HoldbackPolicy.proportional(0.8)}
        };
    }

    @Test(dataProvider = "policies")
    public void one_active_priority_is_never_held_back(HoldbackPolicy policy) {
        assertEquals(policy.ceilings(new double[] {3}), new double[] {Double.POSITIVE_INFINITY});
    }

    @Test(dataProvider = "policies")
    public void ceilings_never_rise_towards_lower_priorities(HoldbackPolicy policy) {
        Random random = new Random(5);
        for (int round = 0; round < 200; round++) {
            double[] ceilings = policy.ceilings(random.doubles(5).toArray());
            for (int rank = 1; rank < ceilings.length; rank++) {
                assertTrue(ceilings[rank] <= ceilings[rank - 1]);
                assertTrue(ceilings[rank] >= HoldbackPolicy.MIN_CEILING);
            }
        }
    }

    @Test
    public void ceilings_follow_the_higher_priorities_saturation() {
        double[] saturation = {0.5, 0.25, 0};
        assertEquals(HoldbackPolicy.fixed(0.25).ceilings(saturation)[2], 0.5);
        assertEquals(HoldbackPolicy.stepwise(0.25, 0.25).ceilings(saturation)[1], 0.5);
        assertEquals(HoldbackPolicy.proportional(0.5).ceilings(saturation)[1], 0.75);
        assertEquals(HoldbackPolicy.proportional(0.5).ceilings(saturation)[2], 0.625);
    }

    @Test
    public void a_lower_priority_is_dispatched_only_below_its_ceiling() {
        AdmissionFixture fixture = new AdmissionFixture();
        AdmissionQueue queue = fixture.queue(10, 10_000, HoldbackPolicy.fixed(0.3));
        queue.offer(fixture.request("mason", 90, 500), IDLE);
        QueueTicket premium = queue.poll(any -> true, 0.8).orElseThrow();
        queue.offer(fixture.request("mason", 10, 500), IDLE);
        assertTrue(queue.poll(any -> true, 0.8).isEmpty(), "0.8 is above the ceiling of 0.7");
        assertTrue(queue.poll(any -> true, 0.6).isPresent());
        queue.offer(fixture.request("mason", 10, 500), IDLE);
        queue.finished(premium);
        assertTrue(queue.poll(any -> true, 0.8).isPresent(), "only one priority is active");
    }

    @Test
    public void without_holdback_a_saturated_pool_still_serves_every_priority() {
        AdmissionFixture fixture = new AdmissionFixture();
        AdmissionQueue queue = fixture.queue(10);
        queue.offer(fixture.request("mason", 90, 500), IDLE);
        queue.offer(fixture.request("mason", 10, 500), IDLE);
        assertTrue(queue.poll(any -> true, 2).isPresent());
        assertTrue(queue.poll(any -> true, 2).isPresent());
    }
}
