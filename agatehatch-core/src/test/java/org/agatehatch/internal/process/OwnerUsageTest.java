package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.Owner;
import org.agatehatch.internal.process.OwnerUsage.Usage;
import org.agatehatch.internal.time.VirtualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OwnerUsageTest {
    private VirtualClock clock;
    private OwnerUsage usage;

    @BeforeMethod
    public void create_usage() {
        clock = new VirtualClock();
        usage = new OwnerUsage(clock, 10, 30_000);
    }

    @Test
    public void usage_through_all_nodes_is_summed() {
        usage.recordUsage("mason", 10_000, 1_000);
        usage.updatePeer("node-2", Map.of("mason", new Usage(500, 50), "school", new Usage(1_500, 10)));
        usage.updatePeer("node-2", Map.of("mason", new Usage(1_000, 100), "school", new Usage(2_000, 10)));
        assertEquals(usage.total("mason").outputTokensPerSecond(), 200, 0.001);
        assertEquals(usage.share("mason"), 0.5, 0.001);
    }

    @Test
    public void rates_of_a_silent_or_removed_node_no_longer_count() {
        usage.updatePeer("node-2", Map.of("mason", new Usage(1_000, 100)));
        usage.updatePeer("node-3", Map.of("mason", new Usage(1_000, 100)));
        clock.advanceMillis(1_000);
        usage.removePeer("node-3");
        assertEquals(usage.total("mason").outputTokensPerSecond(), 100, 0.001);
        clock.advanceMillis(30_000);
        assertEquals(usage.total("mason").outputTokensPerSecond(), 0, 0);
    }

    @Test
    public void local_usage_decays() {
        usage.recordUsage("mason", 10_000, 0);
        clock.advanceMillis(10_000);
        assertEquals(usage.total("mason").acceleratorMillisPerSecond(), 1_000 / Math.E, 0.01);
    }

    @Test
    public void an_owner_below_its_share_gets_more_weight_than_one_above() {
        Catalogue catalogue = new Catalogue(
                1,
                Map.of(),
                Map.of("mason", new Owner("mason", 1, 10, 0), "school", new Owner("school", 3, 10, 0)),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of());
        OwnerShares shares = new OwnerShares(() -> catalogue, usage);
        usage.recordUsage("mason", 500, 0);
        usage.recordUsage("school", 500, 0);
        assertEquals(shares.weight("mason"), 0.5 * 0.5, 0.001);
        assertEquals(shares.weight("school"), 1.5 * 1.5, 0.001);
        clock.advanceMillis(600_000);
        usage.recordUsage("mason", 500, 0);
        assertEquals(shares.weight("school"), 1.5 * 8, 0.001);
        assertTrue(shares.weight("stranger") < shares.weight("mason"));
    }
}
