package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against more requests than a server's limit, and against a limit that is not used. */
public final class RequestPacerTest {
    private static final String PROCESS = "s1@1";
    private static final long SECOND_MILLIS = 1_000;

    private long nowMillis;
    private RequestPacer pacer;

    @BeforeMethod
    public void create() {
        nowMillis = 1_000_000;
        pacer = new RequestPacer(() -> nowMillis * 1_000_000);
    }

    private int grantedWithin(long durationMillis, double perSecond) {
        int granted = 0;
        for (long endMillis = nowMillis + durationMillis; nowMillis < endMillis; nowMillis += 10) {
            granted += pacer.request(PROCESS, perSecond, 0).granted() ? 1 : 0;
        }
        return granted;
    }

    @Test
    public void permits_keep_within_the_limit_and_use_most_of_it() {
        int granted = grantedWithin(40 * SECOND_MILLIS, 5);
        assertTrue(granted <= 40 * 5 && granted >= 40 * 4, "granted " + granted);
    }

    @Test
    public void idle_time_does_not_add_up_to_a_burst() {
        grantedWithin(SECOND_MILLIS, 1);
        nowMillis += 60 * SECOND_MILLIS;
        assertTrue(grantedWithin(SECOND_MILLIS, 1) <= 1);
    }

    // Guards against twice the limit when another node takes over the permits of a server.
    @Test
    public void the_first_permit_of_a_server_is_not_granted_at_once() {
        assertFalse(pacer.request(PROCESS, 1, 0).granted());
    }

    @Test
    public void waiting_requests_get_permits_one_after_the_other() {
        RequestPacer.Permit first = pacer.request(PROCESS, 2, 2 * SECOND_MILLIS);
        RequestPacer.Permit second = pacer.request(PROCESS, 2, 2 * SECOND_MILLIS);
        assertTrue(first.granted() && second.granted());
        assertTrue(second.delayMillis() - first.delayMillis() >= SECOND_MILLIS / 2);
    }

    @Test
    public void a_refusal_tells_when_a_permit_is_free() {
        RequestPacer.Permit refused = pacer.request(PROCESS, 1, 0);
        nowMillis += refused.delayMillis();
        assertTrue(pacer.request(PROCESS, 1, 0).granted());
    }

    // Guards against a server that is never asked again, so that the end of its limit is not learned.
    @Test
    public void a_limit_of_zero_lets_a_request_pass_from_time_to_time() {
        int granted = grantedWithin(60 * SECOND_MILLIS, 0);
        assertTrue(granted >= 10 && granted <= 12, "granted " + granted);
    }

    @Test
    public void a_higher_limit_takes_effect_at_once() {
        pacer.request(PROCESS, 0, 0);
        nowMillis += SECOND_MILLIS;
        assertTrue(pacer.request(PROCESS, 10, 0).granted());
    }

    @Test
    public void servers_have_permits_of_their_own() {
        pacer.request(PROCESS, 1, 2 * SECOND_MILLIS);
        assertEquals(
                pacer.request("s2@1", 1, 2 * SECOND_MILLIS),
                new RequestPacer(() -> nowMillis * 1_000_000).request("s2@1", 1, 2 * SECOND_MILLIS));
    }

    @Test
    public void processes_that_are_gone_are_forgotten() {
        nowMillis += SECOND_MILLIS;
        pacer.request(PROCESS, 1, 0);
        pacer.retain(Set.of());
        nowMillis += 2 * SECOND_MILLIS;
        assertFalse(pacer.request(PROCESS, 1, 0).granted());
    }
}
