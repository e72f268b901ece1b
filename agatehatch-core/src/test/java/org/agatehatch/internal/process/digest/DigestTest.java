package org.agatehatch.internal.process.digest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.agatehatch.api.errors.AgatehatchException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against soft state that is stale, never expires or spreads over too many hops or links. */
public final class DigestTest {
    private static final byte[] PAYLOAD = {1};
    private long nowMillis = 1_000_000;

    @Test
    public void an_entry_is_sent_to_a_neighbour_once_and_again_only_after_it_changed() {
        Digest digest = digest();
        digest.publish(DigestKind.OWNER_USAGE, 1, PAYLOAD);
        assertEquals(digest.takeDelta("n", 10_000).size(), 1);
        assertEquals(digest.takeDelta("n", 10_000).size(), 0);

        digest.publish(DigestKind.OWNER_USAGE, 1, PAYLOAD);
        assertEquals(digest.takeDelta("n", 10_000).size(), 1);
    }

    @Test
    public void an_entry_is_not_sent_back_to_the_neighbour_it_came_from() {
        Digest digest = digest();
        digest.merge("n", List.of(new DigestEntry(DigestKind.STRIKE, 1, nowMillis, PAYLOAD)));

        assertEquals(digest.takeDelta("n", 10_000).size(), 0);
        assertEquals(digest.takeDelta("other", 10_000).size(), 1);
    }

    @Test
    public void an_older_version_never_replaces_a_newer_one() {
        Digest digest = digest();
        digest.merge("n", List.of(new DigestEntry(DigestKind.RUNNER_LOAD, 1, nowMillis, new byte[] {2})));
        digest.merge("m", List.of(new DigestEntry(DigestKind.RUNNER_LOAD, 1, nowMillis - 1, new byte[] {1})));

        assertEquals(digest.get(DigestKind.RUNNER_LOAD, 1).orElseThrow().payload()[0], 2);
    }

    @Test
    public void an_expired_entry_does_not_come_back_over_a_reopened_link() {
        Digest first = digest();
        Digest second = digest();
        first.publish(DigestKind.STRIKE, 1, PAYLOAD);
        second.merge("first", first.takeDelta("second", 10_000));
        nowMillis += DigestKind.STRIKE.lifetimeMillis() + 300_001;
        first.expire();
        second.forgetNeighbour("first");

        first.merge("second", second.takeDelta("first", 10_000));

        assertEquals(first.size(), 0);
    }

    @Test
    public void an_entry_from_a_clock_far_ahead_does_not_block_later_entries() {
        Digest digest = digest();
        digest.merge("n", List.of(new DigestEntry(DigestKind.RUNNER_LOAD, 1, nowMillis + 3_600_000, PAYLOAD)));

        assertEquals(digest.size(), 0);
        assertEquals(digest.refusedEntries(), 1);
    }

    @Test
    public void random_bytes_fail_only_with_a_described_error() {
        Random random = new Random(11);
        for (int i = 0; i < 20_000; i++) {
            byte[] input = new byte[random.nextInt(48)];
            random.nextBytes(input);
            try {
                DigestCodec.decode(input, "peer");
            } catch (AgatehatchException expected) {
                assertTrue(expected.getMessage().length() > 5);
            }
        }
    }

    @Test
    public void quantised_loads_stay_within_a_tenth_of_the_reported_figure() {
        for (long queued : new long[] {10, 100, 12_345, 1_000_000}) {
            RunnerLoad load = new RunnerLoad(1, 2, queued, 8, 5, 0.5, 9_000, 40, 1);
            RunnerLoad decoded = DigestPayloads.decodeRunnerLoad(DigestPayloads.encode(load));
            assertEquals((double) decoded.queuedTokens(), (double) queued, 0.1 * queued);
            assertEquals(decoded, load.quantised());
        }
    }

    /** Guards against a delta whose encoding exceeds the frame of a link, so that its entries never arrive. */
    @Test
    public void the_encoding_of_a_delta_keeps_to_its_bound_also_for_many_small_entries() {
        int maxBytes = 128 * 1024;
        Digest digest = digest();
        for (int key = 0; key < 20_000; key++) {
            digest.publish(DigestKind.RUNNER_LOAD, Long.MIN_VALUE + key, new byte[16]);
        }
        int sent = 0;
        for (List<DigestEntry> delta = digest.takeDelta("n", maxBytes);
                !delta.isEmpty();
                delta = digest.takeDelta("n", maxBytes)) {
            int bytes = DigestCodec.encode(delta).length;
            assertTrue(bytes <= maxBytes, "a delta of " + delta.size() + " entries takes " + bytes + " bytes");
            sent += delta.size();
        }
        assertEquals(sent, 20_000);
    }

    /** Guards against an entry that receivers refuse together with all others of its message. */
    @Test
    public void an_entry_that_no_node_accepts_is_not_published() {
        Digest digest = digest();
        digest.publish(DigestKind.OWNER_USAGE, 1, new byte[64 * 1024 + 1]);
        digest.publish(DigestKind.OWNER_USAGE, 2, new byte[64 * 1024]);

        List<DigestEntry> delta = digest.takeDelta("n", 128 * 1024);

        assertEquals(DigestCodec.decode(DigestCodec.encode(delta), "n").size(), 1);
        assertEquals(digest.refusedEntries(), 1);
    }

    /**
     * Number of nodes, and one more than its binary logarithm as the maximum number of hops: each hop adds to the age
     * of a load, so their number must grow no faster.
     */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{2, 2}, {6, 4}, {8, 4}, {50, 7}, {390, 10}};
    }

    @Test(dataProvider = "sizes")
    public void every_node_is_reached_in_few_hops_over_a_constant_number_of_links(int nodes, int maxHops) {
        List<NodeInfo> all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            all.add(new NodeInfo("node-" + i, "i", "c", "p", "domain-" + i % 6, "region-" + i % 3));
        }
        Map<String, Set<String>> edges = new HashMap<>();
        for (NodeInfo node : all) {
            List<NodeInfo> chosen = NeighbourSelection.choose(node, all);
            assertTrue(chosen.size() <= NeighbourSelection.OUTGOING_LINKS);
            for (NodeInfo neighbour : chosen) {
                edges.computeIfAbsent(node.name(), name -> new HashSet<>()).add(neighbour.name());
                edges.computeIfAbsent(neighbour.name(), name -> new HashSet<>()).add(node.name());
            }
        }
        assertTrue(maxDistance("node-0", edges, nodes) <= maxHops);
    }

    private static int maxDistance(String start, Map<String, Set<String>> edges, int nodes) {
        Map<String, Integer> hops = new HashMap<>(Map.of(start, 0));
        Queue<String> queue = new ArrayDeque<>(List.of(start));
        int maxDistance = 0;
        while (!queue.isEmpty()) {
            String node = queue.remove();
            for (String next : edges.getOrDefault(node, Set.of())) {
                if (hops.putIfAbsent(next, hops.get(node) + 1) == null) {
                    maxDistance = hops.get(next);
                    queue.add(next);
                }
            }
        }
        assertEquals(hops.size(), nodes, "nodes reached");
        return maxDistance;
    }

    private Digest digest() {
        return new Digest(() -> nowMillis * 1_000_000, () -> nowMillis, entry -> {});
    }
}
