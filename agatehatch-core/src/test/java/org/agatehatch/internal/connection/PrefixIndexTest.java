package org.agatehatch.internal.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.internal.time.VirtualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PrefixIndexTest {
    private static final int BLOCK_BYTES = PromptBlocks.BLOCK_BYTES;

    private final long[] blocks = PromptBlocks.hashes(bytes(1, 10 * BLOCK_BYTES));
    private VirtualClock clock;
    private PrefixIndex index;

    @BeforeMethod
    public void create_index() {
        clock = new VirtualClock();
        index = new PrefixIndex(clock, 1_000, 10_000);
    }

    @Test
    public void prompts_with_a_common_start_share_exactly_its_blocks() {
        byte[] first = bytes(1, 4 * BLOCK_BYTES);
        byte[] second = first.clone();
        second[2 * BLOCK_BYTES] ^= 1;
        long[] a = PromptBlocks.hashes(first);
        long[] b = PromptBlocks.hashes(second);
        assertEquals(Arrays.copyOf(a, 2), Arrays.copyOf(b, 2));
        assertTrue(a[2] != b[2] && a[3] != b[3], "a change must alter the hashes of all later blocks");
    }

    @Test
    public void cached_bytes_extend_to_the_deepest_block_of_each_runner() {
        index.apply("none", CacheEvents.snapshot("e", 0, List.of()));
        for (int depth = 1; depth <= 10; depth++) {
            index.apply("r" + depth, CacheEvents.snapshot("e", 0, boxed(depth)));
        }
        String[] runners = {"none", "r1", "r4", "r9", "r10", "unknown"};
        double[] expected = index.expectedCachedBytes(blocks, runners);
        assertEquals(expected, new double[] {0, BLOCK_BYTES, 4 * BLOCK_BYTES, 9 * BLOCK_BYTES, 10 * BLOCK_BYTES, 0});
    }

    @Test
    public void a_gap_in_the_events_halves_confidence_and_a_snapshot_restores_it() {
        index.apply("r", CacheEvents.change("e", 1, boxed(10), List.of()));
        index.apply("r", CacheEvents.change("e", 2, List.of(7L), List.of()));
        assertEquals(cachedBytes("r"), 10.0 * BLOCK_BYTES);
        index.apply("r", CacheEvents.change("e", 5, List.of(8L), List.of()));
        assertEquals(cachedBytes("r"), 5.0 * BLOCK_BYTES);
        index.apply("r", CacheEvents.snapshot("e", 6, boxed(8)));
        assertEquals(cachedBytes("r"), 8.0 * BLOCK_BYTES);
    }

    @Test
    public void a_period_without_events_halves_confidence() {
        index.apply("r", CacheEvents.snapshot("e", 0, boxed(10)));
        clock.advanceMillis(10_500);
        assertEquals(index.confidence("r"), 0.5);
        clock.advanceMillis(10_000);
        assertEquals(cachedBytes("r"), 2.5 * BLOCK_BYTES);
    }

    @Test
    public void removed_blocks_are_not_counted_as_cached() {
        index.apply("r", CacheEvents.snapshot("e", 0, boxed(10)));
        index.apply("r", CacheEvents.change("e", 1, List.of(), boxed(10).subList(6, 10)));
        assertEquals(cachedBytes("r"), 6.0 * BLOCK_BYTES);
    }

    @Test
    public void a_new_engine_process_has_an_empty_cache() {
        index.apply("r", CacheEvents.snapshot("e1", 40, boxed(10)));
        index.apply("r", CacheEvents.change("e2", 1, List.of(blocks[0]), List.of()));
        assertEquals(cachedBytes("r"), 1.0 * BLOCK_BYTES);
    }

    @Test
    public void a_sent_prompt_is_weaker_evidence_than_an_event() {
        index.recordSent("r", blocks);
        assertEquals(cachedBytes("r"), 5.0 * BLOCK_BYTES);
        index.apply("r", CacheEvents.snapshot("e", 0, boxed(4)));
        index.recordSent("r", blocks);
        assertEquals(cachedBytes("r"), (4 + 3) * (double) BLOCK_BYTES);
    }

    @Test
    public void the_number_of_blocks_stays_below_its_maximum() {
        for (int prompt = 0; prompt < 500; prompt++) {
            index.recordSent("r", PromptBlocks.hashes(bytes(prompt, 10 * BLOCK_BYTES)));
        }
        assertTrue(index.blockCount() <= 1_000, "blocks: " + index.blockCount());
    }

    private double cachedBytes(String runner) {
        return index.expectedCachedBytes(blocks, new String[] {runner})[0];
    }

    private List<Long> boxed(int count) {
        return Arrays.stream(blocks, 0, count).boxed().toList();
    }

    private static byte[] bytes(int seed, int length) {
        byte[] bytes = new byte[length];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }
}
