package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.fleet.ServerRecord;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests to servers that have left, and against the loss of servers in an outage of the store. */
public final class BackendRegistryTest {
    private final List<String> observed = new ArrayList<>();
    private VirtualTime time;
    private long sinceStoreRecoveryMillis;
    private FleetView view;
    private BackendRegistry registry;

    private final class Observations implements BackendRegistry.Observer {
        @Override
        public void onEntry(ServerEntry entry) {
            observed.add(entry.id() + ' ' + entry.startedAtMillis());
        }

        @Override
        public void onGap() {
            observed.add("gap");
        }
    }

    @BeforeMethod
    public void create() {
        time = new VirtualTime();
        sinceStoreRecoveryMillis = Long.MAX_VALUE;
        view = FleetView.EMPTY;
        registry = new BackendRegistry(
                BackendRegistryTest::decode,
                time.node(1),
                () -> sinceStoreRecoveryMillis,
                new Observations(),
                published -> view = published);
        put("s1", "ready 1");
        put("s2", "ready 1");
    }

    private static ServerRecord decode(String id, byte[] bytes) {
        String[] fields = new String(bytes, StandardCharsets.UTF_8).split(" ");
        if (fields.length < 2) {
            throw new IllegalArgumentException("too few fields");
        }
        boolean draining = fields[0].equals("draining");
        long startedAtMillis = Long.parseLong(fields[1]);
        PeerAddress address = new PeerAddress("10.0.0.1", 80);
        ServerEntry entry =
                new ServerEntry(id, "desk", address, "d1", 6, draining, startedAtMillis, "v1", List.of(), Set.of());
        return new ServerRecord(entry, fields.length < 3 ? 0 : Long.parseLong(fields[2]));
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

    // Guards against a restored store whose older entries bring back servers that drain or have left.
    @Test
    public void an_older_entry_of_a_draining_server_is_ignored() {
        put("s1", "draining 1 8");
        put("s1", "ready 1 7");
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void an_older_entry_of_a_server_that_left_is_ignored_until_it_registers_again() {
        put("s1", "ready 1 8");
        registry.onRemoved("s1");
        put("s1", "ready 1 7");
        put("s1", "ready 1 8");
        assertEquals(servers(), List.of("s2"));
        put("s1", "ready 1 9");
        assertEquals(servers(), List.of("s2", "s1"));
    }

    @Test
    public void a_restarted_server_counts_its_entries_anew() {
        put("s1", "ready 1 8");
        put("s1", "draining 2 0");
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void an_entry_that_a_restored_store_lacks_is_kept_until_servers_must_have_written_again() {
        registry.onNewEra(2);
        registry.onRemoved("s1");
        time.advance(1_900);
        assertEquals(servers(), List.of("s1", "s2"));
        time.advance(200);
        assertEquals(servers(), List.of("s2"));
        registry.onRemoved("s2");
        assertEquals(servers(), List.of());
    }

    // Guards against an odd entry after which each true entry of its server counts as outdated.
    @Test
    public void a_server_is_believed_again_after_another_writer_has_left_an_entry_with_higher_counts() {
        put("s1", "draining 9000000000000 9000000000000");
        put("s1", "ready 1 2");
        time.advance(BackendRegistry.DISPUTE_MILLIS - 1);
        put("s1", "ready 1 7");
        assertEquals(servers(), List.of("s2"));
        time.advance(1);
        assertEquals(servers(), List.of("s1", "s2"));
        put("s1", "draining 1 8");
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void an_entry_of_a_restored_store_that_lapses_is_not_believed() {
        put("s1", "draining 1 8");
        put("s1", "ready 1 7");
        time.advance(3_600);
        registry.onRemoved("s1");
        time.advance(2 * BackendRegistry.DISPUTE_MILLIS);
        assertEquals(servers(), List.of("s2"));
    }

    @Test
    public void an_older_entry_is_not_believed_while_the_store_cannot_remove_it() {
        put("s1", "draining 1 8");
        put("s1", "ready 1 7");
        sinceStoreRecoveryMillis = 0;
        time.advance(10 * BackendRegistry.DISPUTE_MILLIS);
        assertEquals(servers(), List.of("s2"));
    }

    // Guards against a version of the servers' software that comes and goes between two views without a trace.
    @Test
    public void servers_that_come_and_go_within_one_read_are_observed() {
        observed.clear();
        registry.onBatch(() -> {
            put("s3", "ready 7");
            registry.onRemoved("s3");
        });
        assertEquals(observed, List.of("s3 7"));
        registry.onRemoved("never seen");
        registry.onHistoryMissing();
        registry.onNewEra(2);
        assertEquals(observed, List.of("s3 7", "gap", "gap", "gap"));
    }

    // Guards against a server that is lost for good because its clock was set back before it restarted under the same
    // id.
    @Test
    public void a_server_that_restarts_with_its_clock_set_back_is_used_again() {
        put("s1", "draining 90000 8");
        put("s1", "ready 30000 0");
        time.advance(1_200);
        put("s1", "ready 30000 1");
        time.advance(BackendRegistry.DISPUTE_MILLIS);
        assertEquals(servers(), List.of("s1", "s2"));
        put("s1", "draining 30000 2");
        assertEquals(servers(), List.of("s2"));
    }
}
