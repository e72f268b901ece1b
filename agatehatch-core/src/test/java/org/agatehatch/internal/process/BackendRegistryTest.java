package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServerEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests that are sent to servers which have left, and against servers lost in an outage of the store. */
public final class BackendRegistryTest {
    private VirtualTime time;
    private long sinceRegainedMillis;
    private FleetView view;
    private BackendRegistry registry;

    @BeforeMethod
    public void create() {
        time = new VirtualTime();
        sinceRegainedMillis = Long.MAX_VALUE;
        view = FleetView.EMPTY;
        registry = new BackendRegistry(
                BackendRegistryTest::decode, time.node(1), () -> sinceRegainedMillis, published -> view = published);
        put("s1", "ready 1");
        put("s2", "ready 1");
    }

    private static Optional<ServerEntry> decode(String id, byte[] bytes) {
        String[] words = new String(bytes, StandardCharsets.UTF_8).split(" ");
        if (words.length != 2) {
            return Optional.empty();
        }
        boolean draining = words[0].equals("draining");
        long born = Long.parseLong(words[1]);
        PeerAddress address = new PeerAddress("10.0.0.1", 80);
        return Optional.of(new ServerEntry(id, "desk", address, "d1", 6, draining, born, List.of(), Set.of()));
    }

    private void put(String id, String entry) {
        registry.onValue(id, entry.getBytes(StandardCharsets.UTF_8));
    }

    private List<String> servers() {
        return view.servers("desk").stream().map(ServerEntry::id).toList();
    }

    @Test
    public void a_draining_server_is_no_candidate() {
        put("s1", "draining 1");
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void a_dropped_entry_is_gone_at_once_while_the_store_is_well() {
        registry.onDropped("s1");
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void an_entry_that_lapsed_in_an_outage_keeps_its_place_until_servers_must_be_back() {
        sinceRegainedMillis = 100;
        registry.onDropped("s1");
        time.advance(1_200);
        assertEquals(servers(), List.of("s1", "s2"));
        time.advance(200);
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void an_entry_that_came_back_stays() {
        sinceRegainedMillis = 0;
        registry.onDropped("s1");
        time.advance(500);
        put("s1", "ready 1");
        time.advance(5_000);
        assertEquals(servers(), List.of("s1", "s2"));
    }

    /** Found on almaty-hone, day fresh-3e4b: the entry was dropped after the outage, and used for 2.2 s more. */
    @Test
    public void an_entry_that_is_dropped_after_an_outage_is_not_used_beyond_the_time_to_drain() {
        sinceRegainedMillis = 810;
        registry.onDropped("s1");
        time.advance(600);
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void an_entry_of_an_earlier_process_does_not_replace_that_of_a_later_one() {
        put("s1", "ready 5");
        put("s1", "draining 1");
        assertEquals(view.servers("desk").get(0).startedAtMillis(), 5);
        assertEquals(servers(), List.of("s1", "s2"));
    }

    @Test
    public void an_unreadable_entry_changes_nothing() {
        put("s1", "garbage");
        put("ghost", "garbage");
        assertEquals(servers(), List.of("s1", "s2"));
    }
}
