package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServerEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests to servers that are leaving or have closed themselves, and against servers that stay closed for good. */
public final class ServerAvailabilityTest {
    private long nowMillis;
    private AvailabilityEvents listener;
    private ServerAvailability availability;

    @BeforeMethod
    public void create() {
        nowMillis = 5_000;
        listener = new AvailabilityEvents();
        availability = new ServerAvailability(() -> nowMillis * 1_000_000, listener);
    }

    private static ServerEntry server(int port, long startedAtMillis) {
        PeerAddress address = new PeerAddress("10.0.0.1", port);
        return new ServerEntry("s", "svc", address, "d", 8, false, startedAtMillis, "v1", List.of(), Set.of());
    }

    @Test
    public void a_leaving_process_stays_left_and_is_reported_once() {
        availability.recordLeaving(server(80, 1));
        availability.recordLeaving(server(80, 1));
        nowMillis += 600_000;
        assertFalse(availability.maySend(server(80, 1)));
        assertEquals(listener.events, List.of("leaving s@1"));
    }

    @Test
    public void another_process_under_the_same_id_takes_requests() {
        availability.recordLeaving(server(80, 1));
        availability.recordClosed(server(80, 1), 10_000);
        assertTrue(availability.maySend(server(80, 2)));
        assertTrue(availability.maySend(server(81, 1)));
    }

    @Test
    public void a_closure_ends_with_its_time() {
        availability.recordClosed(server(80, 1), 2_000);
        nowMillis += 1_999;
        assertFalse(availability.maySend(server(80, 1)));
        nowMillis++;
        assertTrue(availability.maySend(server(80, 1)));
    }

    @Test
    public void a_later_answer_with_a_shorter_time_does_not_open_a_server_sooner() {
        availability.recordClosed(server(80, 1), 2_000);
        availability.recordClosed(server(80, 1), 100);
        assertEquals(availability.opensInMillis(server(80, 1)), 2_000);
    }

    @Test
    public void absurd_times_are_bounded() {
        availability.recordClosed(server(80, 1), Long.MIN_VALUE);
        assertTrue(availability.maySend(server(80, 1)));
        availability.recordClosed(server(80, 1), Long.MAX_VALUE);
        assertEquals(availability.opensInMillis(server(80, 1)), ServerAvailability.MAX_CLOSURE_MILLIS);
    }

    @Test
    public void no_more_requests_wait_than_the_servers_are_expected_to_take() {
        assertTrue(availability.tryStartWait(2));
        assertTrue(availability.tryStartWait(2));
        assertFalse(availability.tryStartWait(2));
        availability.endWait();
        assertTrue(availability.tryStartWait(2));
    }
}
