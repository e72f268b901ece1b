package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.internal.time.VirtualClock;
import org.testng.annotations.Test;

public class PrefixAffinityTest {
    private static final List<String> REPLICAS = List.of("a", "b", "c", "d", "e", "f");

    private final VirtualClock clock = new VirtualClock();

    @Test
    public void all_nodes_choose_the_same_home() {
        PrefixAffinity one = new PrefixAffinity(clock, 4_000, 100);
        PrefixAffinity other = new PrefixAffinity(clock, 4_000, 100);
        List<String> reversed = List.of("f", "e", "d", "c", "b", "a");
        for (long prefix = 1; prefix < 100; prefix++) {
            assertEquals(one.homes(prefix, REPLICAS, 4), other.homes(prefix, reversed, 4));
        }
    }

    @Test
    public void prefixes_spread_over_the_replicas() {
        PrefixAffinity affinity = new PrefixAffinity(clock, 4_000, 100);
        Map<String, Integer> prefixesByHome = new HashMap<>();
        for (long prefix = 1; prefix <= 6_000; prefix++) {
            prefixesByHome.merge(affinity.homes(prefix, REPLICAS, 4).get(0), 1, Integer::sum);
        }
        prefixesByHome.values().forEach(count -> assertTrue(count > 800 && count < 1_200, prefixesByHome.toString()));
    }

    @Test
    public void a_prefix_gains_homes_under_load_and_loses_them_afterwards() {
        PrefixAffinity affinity = new PrefixAffinity(clock, 4_000, 100);
        assertEquals(affinity.homes(7, REPLICAS, 4).size(), 1);
        List<String> first = affinity.homes(7, REPLICAS, 4);
        for (int i = 0; i < 300; i++) {
            affinity.recordRequest(7, 250);
            clock.advanceMillis(100);
        }
        // 2,500 tokens per second on this node, so about 10,000 over 4 nodes: the load of 2.5 homes.
        List<String> hot = affinity.homes(7, REPLICAS, 4);
        assertEquals(hot.size(), 3);
        assertEquals(hot.subList(0, 1), first, "the first home stays a home");
        clock.advanceMillis(60_000);
        assertEquals(affinity.homes(7, REPLICAS, 4), first);
    }

    @Test
    public void a_lost_home_moves_only_its_own_prefixes() {
        PrefixAffinity affinity = new PrefixAffinity(clock, 4_000, 100);
        List<String> withoutF = REPLICAS.subList(0, 5);
        for (long prefix = 1; prefix < 200; prefix++) {
            List<String> before = affinity.homes(prefix, REPLICAS, 4);
            if (!before.contains("f")) {
                assertEquals(affinity.homes(prefix, withoutF, 4), before);
            }
        }
    }
}
