package org.agatehatch.gateway.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agatehatch.gateway.connection.CallerMemory.Reason;
import org.agatehatch.gateway.connection.CallerMemory.State;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks which connections are closed when memory or descriptors are used up. */
public final class CallerMemoryTest {
    private static final long LIMIT_BYTES = 1_000;
    private static final int MAX_CONNECTIONS = 10;

    private final List<Reason> refusals = new ArrayList<>();
    private final List<State> states = new ArrayList<>();
    private long nowMillis;
    private CallerMemory memory;

    @BeforeMethod
    public void create() {
        refusals.clear();
        states.clear();
        nowMillis = 0;
        memory = new CallerMemory(
                new CallerMemory.Settings(LIMIT_BYTES, MAX_CONNECTIONS),
                () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
                new CallerMemory.Listener() {
                    @Override
                    public void onRefusal(Reason reason) {
                        refusals.add(reason);
                    }

                    @Override
                    public void onState(State state, long usedBytes, int connections) {
                        states.add(state);
                    }

                    @Override
                    public void onAcceptPaused(int connections, int maxConnections) {}
                });
    }

    private final class Connection implements CallerMemory.Holder {
        private final CallerMemory.Account account;
        private final long lastProgressMillis = nowMillis;
        private boolean serving;
        private boolean partial = true;
        private boolean served;
        private boolean evicted;

        private Connection(long bytes) {
            account = memory.open(this);
            account.charge(bytes);
        }

        @Override
        public boolean isServing() {
            return serving;
        }

        @Override
        public boolean isPartial() {
            return partial;
        }

        @Override
        public boolean hasBeenServed() {
            return served;
        }

        @Override
        public long lastProgressNanos() {
            return TimeUnit.MILLISECONDS.toNanos(lastProgressMillis);
        }

        @Override
        public void evict(Reason reason) {
            evicted = true;
            account.close();
        }
    }

    // Guards against closing callers that are active while others hold memory and do nothing.
    @Test
    public void the_largest_connection_without_progress_goes_first() {
        Connection small = new Connection(100);
        Connection large = new Connection(200);
        nowMillis = CallerMemory.STALL_MILLIS + 1;
        Connection active = new Connection(600);
        assertTrue(new Connection(0).account.tryCharge(300));
        assertTrue(large.evicted);
        assertFalse(small.evicted || active.evicted);
        assertEquals(refusals, List.of(Reason.EVICTED));
    }

    // Guards against a crowd that sends steadily and thereby keeps all memory.
    @Test
    public void the_largest_active_connection_goes_if_all_make_progress() {
        Connection small = new Connection(100);
        Connection large = new Connection(800);
        assertTrue(new Connection(0).account.tryCharge(200));
        assertTrue(large.evicted);
        assertFalse(small.evicted);
    }

    // Guards against an answer that is cut because of callers who send too much.
    @Test
    public void a_connection_that_is_served_is_never_closed() {
        Connection served = new Connection(900);
        served.serving = true;
        nowMillis = 10 * CallerMemory.STALL_MILLIS;
        assertFalse(new Connection(0).account.tryCharge(200));
        assertFalse(served.evicted);
        assertEquals(states.get(states.size() - 1), State.FULL);
    }

    // Guards against a charge that stays although it was refused.
    @Test
    public void a_refused_charge_changes_nothing() {
        new Connection(900).serving = true;
        Connection asking = new Connection(50);
        assertFalse(asking.account.tryCharge(500));
        assertEquals(memory.usedBytes(), 950);
    }

    // Guards against closing idle connections of ordinary callers before those that hold parts of requests.
    @Test
    public void idle_connections_go_last() {
        Connection idle = new Connection(200);
        idle.partial = false;
        nowMillis = 5 * CallerMemory.STALL_MILLIS;
        Connection partial = new Connection(700);
        assertTrue(new Connection(0).account.tryCharge(200));
        assertTrue(partial.evicted);
        assertFalse(idle.evicted);
    }

    // Guards against memory that stays charged after its connection has closed.
    @Test
    public void a_closed_connection_is_not_charged_any_more() {
        Connection connection = new Connection(900);
        connection.account.close();
        connection.account.charge(500);
        assertEquals(memory.usedBytes(), 0);
    }

    // Guards against limits on progress while there is room, and against a state that changes at each request.
    @Test
    public void the_account_is_short_above_half_and_calm_again_below_a_quarter() {
        Connection connection = new Connection(500);
        assertFalse(memory.isShort());
        connection.account.charge(501);
        assertTrue(memory.isShort());
        connection.account.charge(300);
        connection.account.charge(501);
        connection.account.charge(249);
        assertEquals(states, List.of(State.SHORT, State.CALM));
    }

    // Guards against connections that take all descriptors and keep ordinary callers out.
    @Test
    public void a_silent_connection_that_was_never_served_is_closed_for_a_new_one() {
        List<Connection> connections = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            connections.add(new Connection(1));
        }
        connections.get(0).serving = true;
        connections.get(1).served = true;
        List<Connection> refused = new ArrayList<>();
        for (int i = 0; i < CallerMemory.REFUSED_CONNECTIONS; i++) {
            assertTrue(memory.mayAccept(MAX_CONNECTIONS + i));
            refused.add(new Connection(1));
            assertTrue(memory.hasTooManyConnections());
        }
        assertFalse(memory.mayAccept(MAX_CONNECTIONS + refused.size()));
        refused.forEach(connection -> connection.account.close());
        assertFalse(memory.hasTooManyConnections());
        nowMillis = 2 * CallerMemory.STALL_MILLIS;
        assertTrue(memory.mayAccept(MAX_CONNECTIONS));
        assertTrue(connections.get(2).evicted);
        assertFalse(connections.get(0).evicted || connections.get(1).evicted);
        assertEquals(refusals, List.of(Reason.NO_DESCRIPTOR));
    }

    // Guards against a flood at one port that keeps readiness checks from another.
    @Test
    public void a_port_with_few_connections_accepts_although_all_are_used() {
        for (int i = 0; i < MAX_CONNECTIONS + CallerMemory.REFUSED_CONNECTIONS; i++) {
            new Connection(1).serving = true;
        }
        assertFalse(memory.mayAccept(CallerMemory.MIN_CONNECTIONS_A_PORT));
        assertTrue(memory.mayAccept(CallerMemory.MIN_CONNECTIONS_A_PORT - 1));
    }
}
