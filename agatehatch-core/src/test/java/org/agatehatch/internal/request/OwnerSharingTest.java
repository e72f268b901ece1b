package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.catalogue.Owner;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * One node serves 10 requests per second for two owners with guaranteed shares of 80% and 20%, under virtual time. The
 * owner with the smaller share always has a long queue.
 */
public class OwnerSharingTest {
    private static final int STEP_MILLIS = 100;
    private static final int WARM_UP_STEPS = 200;
    private static final int MAX_WAITING = 500;
    private static final int STEPS = 1_200;

    private AdmissionFixture fixture;
    private AdmissionQueue queue;
    private Map<String, Integer> waiting;
    private Map<String, Integer> served;
    private double longestSteadyWaitMillis;

    @BeforeMethod
    public void create_queue() {
        fixture = new AdmissionFixture().owner(new Owner("steady", 4, 1_000, 0)).owner(new Owner("burst", 1, 1_000, 0));
        queue = fixture.queue(2_000);
        waiting = new HashMap<>();
        served = new HashMap<>();
        longestSteadyWaitMillis = 0;
    }

    @Test
    public void a_burst_does_not_push_another_owner_below_its_share() {
        run(7);
        assertTrue(served.get("steady") >= 690, "steady sent 700 requests; served: " + served);
        assertTrue(longestSteadyWaitMillis <= 2_000, "longest wait in ms: " + longestSteadyWaitMillis);
    }

    @Test
    public void unused_share_of_an_owner_goes_to_other_owners() {
        run(2);
        assertEquals(served.get("steady"), 200, 5);
        assertEquals(served.get("burst"), 800, 5);
    }

    @Test
    public void two_backlogged_owners_converge_to_their_shares() {
        run(50);
        assertEquals(served.get("steady"), 800, 60);
    }

    private void run(int steadyRequestsPerSecond) {
        int steadySent = 0;
        for (int step = 0; step < STEPS; step++) {
            if (step % 10 == 0) {
                for (int i = 0; i < 30; i++) {
                    offer("burst");
                }
            }
            while (steadySent * 10 < steadyRequestsPerSecond * step) {
                offer("steady");
                steadySent++;
            }
            serveOne(step >= WARM_UP_STEPS);
            fixture.clock.advanceMillis(STEP_MILLIS);
        }
    }

    private void offer(String owner) {
        if (waiting.getOrDefault(owner, 0) < MAX_WAITING) {
            waiting.merge(owner, 1, Integer::sum);
            queue.offer(fixture.request(owner, 50, 1_000_000), AdmissionFixture.IDLE);
        }
    }

    private void serveOne(boolean counted) {
        Optional<QueueTicket> next = queue.poll(any -> true, 1);
        if (next.isEmpty()) {
            return;
        }
        String owner = next.get().request().owner();
        waiting.merge(owner, -1, Integer::sum);
        fixture.usage.recordUsage(owner, STEP_MILLIS, 0);
        queue.finished(next.get());
        if (!counted) {
            return;
        }
        served.merge(owner, 1, Integer::sum);
        if (owner.equals("steady")) {
            double leftMillis = (next.get().request().firstTokenDeadlineNanos() - fixture.clock.nanos()) / 1e6;
            longestSteadyWaitMillis = Math.max(longestSteadyWaitMillis, 1_000_000 - leftMillis);
        }
    }
}
