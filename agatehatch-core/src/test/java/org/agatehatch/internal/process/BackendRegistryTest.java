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

/** Guards against requests to servers that have left, and against the loss of servers in an outage of the store. */
public final class BackendRegistryTest {
    private VirtualTime time;
    private long sinceStoreRecoveryMillis;
    private FleetView view;
    private BackendRegistry registry;

    @BeforeMethod
    public void create() {
        time = new VirtualTime();
        sinceStoreRecoveryMillis = Long.MAX_VALUE;
        view = FleetView.EMPTY;
        registry = new BackendRegistry(
                BackendRegistryTest::decode,
                time.node(1),
                () -> sinceStoreRecoveryMillis,
                published -> view = published);
        put("s1", "ready 1");
        put("s2", "ready 1");
    }

    private static Optional<ServerEntry> decode(String id, byte[] bytes) {
        String[] fields = new String(bytes, StandardCharsets.UTF_8).split(" ");
        if (fields.length != 2) {
            return Optional.empty();
        }
        boolean draining = fields[0].equals("draining");
        long startedAtMillis = Long.parseLong(fields[1]);
        PeerAddress address = new PeerAddress("10.0.0.1", 80);
        return Optional.of(
                new ServerEntry(id, "desk", address, "d1", 6, draining, startedAtMillis, List.of(), Set.of()));
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
    public void a_deleted_entry_is_removed_at_once_while_the_store_is_available() {
        registry.onRemoved("s1");
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void an_entry_that_expired_in_an_outage_is_kept_until_the_end_of_the_grace_period() {
        sinceStoreRecoveryMillis = 100;
        registry.onRemoved("s1");
        time.advance(1_200);
        assertEquals(servers(), List.of("s1", "s2"));
        time.advance(200);
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void an_entry_that_is_registered_again_within_the_grace_period_is_kept() {
        sinceStoreRecoveryMillis = 0;
        registry.onRemoved("s1");
        time.advance(500);
        put("s1", "ready 1");
        time.advance(5_000);
        assertEquals(servers(), List.of("s1", "s2"));
    }

    /** Guards against a grace period that is too long: an entry deleted after an outage was used for 2.2 s more. */
    @Test
    public void an_entry_deleted_after_an_outage_is_kept_only_for_the_rest_of_the_grace_period() {
        sinceStoreRecoveryMillis = 810;
        registry.onRemoved("s1");
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
    public void an_unreadable_entry_is_ignored() {
        put("s1", "garbage");
        put("ghost", "garbage");
        assertEquals(servers(), List.of("s1", "s2"));
    }
}
