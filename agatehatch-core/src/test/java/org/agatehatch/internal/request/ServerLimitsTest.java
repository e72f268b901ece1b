package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.internal.process.LimitMessages;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against limits that are missed, and against limits that outlast the server's need. */
public final class ServerLimitsTest {
    private static final OptionalDouble NONE = OptionalDouble.empty();

    private final List<String> changes = new ArrayList<>();
    private long nowMillis;
    private ServerLimits limits;

    @BeforeMethod
    public void create() {
        nowMillis = 1_000_000;
        changes.clear();
        limits = new ServerLimits(
                () -> nowMillis * 1_000_000,
                (process, perSecond, own) -> changes.add(process + " " + perSecond + " " + own));
    }

    private static ServerEntry server(long startedMillis) {
        PeerAddress address = new PeerAddress("10.0.0.1", 80);
        return new ServerEntry("s1", "svc", address, "d", 8, false, startedMillis, "v1", List.of(), Set.of());
    }

    private OptionalDouble known() {
        return limits.perSecond(server(1).processKey());
    }

    @Test
    public void an_answer_sets_changes_and_ends_the_limit() {
        limits.answered(server(1), OptionalDouble.of(2), nowMillis);
        limits.answered(server(1), OptionalDouble.of(2), nowMillis);
        limits.answered(server(1), OptionalDouble.of(3), nowMillis);
        nowMillis += 10;
        limits.answered(server(1), NONE, nowMillis);
        assertEquals(known(), NONE);
        assertEquals(changes.size(), 3);
    }

    // Guards against an answer without a limit that was written before the server's need and arrives late.
    @Test
    public void an_answer_to_a_request_from_before_the_limit_does_not_end_it() {
        long sentMillis = nowMillis;
        nowMillis += 10;
        limits.answered(server(1), OptionalDouble.of(2), sentMillis);
        nowMillis += 10;
        limits.answered(server(1), NONE, sentMillis);
        assertEquals(known(), OptionalDouble.of(2));
    }

    @Test
    public void a_restarted_server_has_no_limit() {
        limits.answered(server(1), OptionalDouble.of(2), nowMillis);
        assertEquals(limits.perSecond(server(2).processKey()), NONE);
        limits.retain(Set.of(server(2).processKey()));
        assertEquals(limits.size(), 0);
    }

    @Test
    public void peers_set_and_end_a_limit() {
        String process = server(1).processKey();
        LimitMessages.Notice named = LimitMessages.decodeNotice(
                LimitMessages.encode(new LimitMessages.Notice(process, OptionalDouble.of(1.5))));
        limits.heardFromPeer(named.process(), named.perSecond());
        assertEquals(known(), OptionalDouble.of(1.5));
        LimitMessages.Notice ended =
                LimitMessages.decodeNotice(LimitMessages.encode(new LimitMessages.Notice(process, NONE)));
        limits.heardFromPeer(ended.process(), ended.perSecond());
        assertEquals(known(), NONE);
    }

    // Guards against nodes that keep each other in the belief of a limit that no server names.
    @Test
    public void only_limits_that_answers_name_are_repeated_to_peers() {
        limits.heardFromPeer(server(1).processKey(), OptionalDouble.of(1));
        assertTrue(limits.namedWithin(1_000).isEmpty());
        limits.answered(server(1), OptionalDouble.of(1), nowMillis);
        assertEquals(limits.namedWithin(1_000), Map.of(server(1).processKey(), 1.0));
        nowMillis += 1_001;
        assertTrue(limits.namedWithin(1_000).isEmpty());
    }
}
