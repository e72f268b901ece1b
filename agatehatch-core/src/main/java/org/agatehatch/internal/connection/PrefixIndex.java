package org.agatehatch.internal.connection;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.Policy;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Estimates how much of a prompt's prefix each runner holds in its prefix cache. The evidence are the engines' cache
 * events and, with less confidence, the prompts that this node sent. The number of blocks is bounded by evicting the
 * least recently used ones.
 *
 * <p>Thread-safe for lookups. The events of one runner must be applied by one thread at a time.
 */
public final class PrefixIndex {
    private final MonotonicClock clock;
    private final long silenceNanos;
    private final Cache<Long, BlockHolders> holdersByBlock;
    /**
     * Reads entries without recording an access. Routing lookups read only a few blocks of a chain. If these counted as
     * accesses, eviction would remove the blocks between them and leave holes in the chain.
     */
    private final Policy<Long, BlockHolders> holdersPolicy;

    private final Map<String, CacheConfidence> confidenceByRunner = new ConcurrentHashMap<>();
    private final AtomicInteger nextSlot = new AtomicInteger();
    private final Set<Integer> liveSlots = ConcurrentHashMap.newKeySet();

    /**
     * Creates an empty index.
     *
     * @param maxBlocks maximum number of blocks; each takes about 150 bytes of memory
     * @param silenceMillis time without events after which the confidence in a runner's events is halved
     */
    public PrefixIndex(MonotonicClock clock, long maxBlocks, long silenceMillis) {
        this.clock = clock;
        this.silenceNanos = TimeUnit.MILLISECONDS.toNanos(silenceMillis);
        this.holdersByBlock = Caffeine.newBuilder()
                .maximumSize(maxBlocks)
                .executor(Runnable::run)
                .build();
        this.holdersPolicy = holdersByBlock.policy();
    }

    /** Applies cache events of a runner. Incremental changes that are not newer than the last event are ignored. */
    public void apply(String runner, CacheEvents events) {
        CacheConfidence before = confidenceByRunner.get(runner);
        boolean sameProcess = before != null && before.runnerEpoch().equals(events.runnerEpoch());
        if (sameProcess && events.sequence() <= before.sequence() && !events.snapshot()) {
            return;
        }
        CacheConfidence after;
        if (events.snapshot()) {
            after = newConfidence(events, 1);
        } else if (sameProcess) {
            after = before.afterEvent(events.sequence(), clock.nanos(), silenceNanos);
        } else {
            // Without the first event of a new process, the content of its cache is only partly known.
            after = newConfidence(events, events.sequence() == 1 ? 1 : CacheConfidence.OWN_SEND_CONFIDENCE);
        }
        retireSlot(confidenceByRunner.put(runner, after), after.slot());
        for (Long block : events.removed()) {
            holdersByBlock.asMap().computeIfPresent(block, (key, holders) -> holders.without(after.slot()));
        }
        for (Long block : events.added()) {
            addHolder(block, after.slot(), true);
        }
    }

    /** Records that this node sent a prompt to a runner, whose prefix cache then probably holds it. */
    public void recordSent(String runner, long[] promptBlocks) {
        int slot = confidenceByRunner
                .computeIfAbsent(runner, name -> CacheConfidence.unknown(newSlot(), clock.nanos()))
                .slot();
        for (long block : promptBlocks) {
            addHolder(block, slot, false);
        }
    }

    /** Removes a runner whose cache is lost, for example because its process ended. */
    public void invalidate(String runner) {
        retireSlot(confidenceByRunner.remove(runner), -1);
    }

    /** Returns the confidence in a runner's cache content, 0 to 1; 0 for an unknown runner. */
    public double confidence(String runner) {
        CacheConfidence confidence = confidenceByRunner.get(runner);
        return confidence == null ? 0 : confidence.decayedAt(clock.nanos(), silenceNanos);
    }

    /**
     * Returns for each runner how many leading bytes of the prompt its cache is expected to hold. Prefix blocks are
     * weighted with the confidence in their evidence.
     */
    public double[] expectedCachedBytes(long[] promptBlocks, String[] runners) {
        double[] expected = new double[runners.length];
        if (promptBlocks.length == 0) {
            return expected;
        }
        long nowNanos = clock.nanos();
        int[] slots = new int[runners.length];
        double[] confidences = new double[runners.length];
        for (int i = 0; i < runners.length; i++) {
            CacheConfidence confidence = confidenceByRunner.get(runners[i]);
            slots[i] = confidence == null ? -1 : confidence.slot();
            confidences[i] = confidence == null ? 0 : confidence.decayedAt(nowNanos, silenceNanos);
        }
        int[] anyDepths = cachedDepths(promptBlocks, slots, false);
        int[] eventDepths = cachedDepths(promptBlocks, slots, true);
        for (int i = 0; i < runners.length; i++) {
            double byEvents = eventDepths[i] * confidences[i];
            double bySentPrompts =
                    (anyDepths[i] - eventDepths[i]) * Math.min(confidences[i], CacheConfidence.OWN_SEND_CONFIDENCE);
            expected[i] = (byEvents + Math.max(0, bySentPrompts)) * PromptBlocks.BLOCK_BYTES;
        }
        return expected;
    }

    /** Returns the number of blocks in the index. */
    public long blockCount() {
        holdersByBlock.cleanUp();
        return holdersByBlock.estimatedSize();
    }

    private CacheConfidence newConfidence(CacheEvents events, double confidence) {
        return new CacheConfidence(newSlot(), events.runnerEpoch(), events.sequence(), confidence, clock.nanos());
    }

    private int newSlot() {
        int slot = nextSlot.getAndIncrement();
        liveSlots.add(slot);
        return slot;
    }

    private void retireSlot(CacheConfidence replaced, int slotInUse) {
        if (replaced != null && replaced.slot() != slotInUse) {
            liveSlots.remove(replaced.slot());
        }
    }

    private void addHolder(long block, int slot, boolean byEvent) {
        BlockHolders present = holdersByBlock.getIfPresent(block);
        if (present != null && present.holds(slot, byEvent)) {
            return;
        }
        holdersByBlock
                .asMap()
                .merge(block, BlockHolders.of(slot, byEvent), (old, added) -> old.with(slot, byEvent, liveSlots));
    }

    /**
     * Returns the number of leading blocks that each runner holds. Engines evict the last blocks of a chain first, so a
     * runner that holds a block holds all blocks before it. A binary search therefore finds the deepest block of each
     * runner; one search serves all runners.
     */
    private int[] cachedDepths(long[] blocks, int[] slots, boolean byEvent) {
        int[] depths = new int[slots.length];
        int[] runnerIndexes = new int[slots.length];
        int count = 0;
        for (int i = 0; i < slots.length; i++) {
            if (slots[i] >= 0) {
                runnerIndexes[count++] = i;
            }
        }
        bisect(new Search(blocks, slots, byEvent, depths), runnerIndexes, count, 0, blocks.length);
        return depths;
    }

    /** Binary search for runners that hold at least the first {@code low} and at most the first {@code high} blocks. */
    private void bisect(Search search, int[] runnerIndexes, int count, int low, int high) {
        if (count == 0) {
            return;
        }
        if (low == high) {
            for (int i = 0; i < count; i++) {
                search.depths[runnerIndexes[i]] = low;
            }
            return;
        }
        int mid = (low + high + 1) >>> 1;
        BlockHolders holders = holdersPolicy.getIfPresentQuietly(search.blocks[mid - 1]);
        if (holders == null) {
            bisect(search, runnerIndexes, count, low, mid - 1);
            return;
        }
        int[] holding = new int[count];
        int[] others = new int[count];
        int holdingCount = 0;
        int othersCount = 0;
        for (int i = 0; i < count; i++) {
            if (holders.holds(search.slots[runnerIndexes[i]], search.byEvent)) {
                holding[holdingCount++] = runnerIndexes[i];
            } else {
                others[othersCount++] = runnerIndexes[i];
            }
        }
        bisect(search, holding, holdingCount, mid, high);
        bisect(search, others, othersCount, low, mid - 1);
    }

    private static final class Search {
        private final long[] blocks;
        private final int[] slots;
        private final boolean byEvent;
        private final int[] depths;

        private Search(long[] blocks, int[] slots, boolean byEvent, int[] depths) {
            this.blocks = blocks;
            this.slots = slots;
            this.byEvent = byEvent;
            this.depths = depths;
        }
    }

    /**
     * Runners that hold one block. Immutable. An entry is the slot times 2, plus 1 if the evidence is a cache event.
     */
    private static final class BlockHolders {
        /** Limit on tracked holders: a block that more runners hold gives no reason to prefer one of them. */
        private static final int MAX_HOLDERS = 64;

        private final int[] entries;

        private BlockHolders(int[] entries) {
            this.entries = entries;
        }

        static BlockHolders of(int slot, boolean byEvent) {
            return new BlockHolders(new int[] {entry(slot, byEvent)});
        }

        boolean holds(int slot, boolean byEvent) {
            for (int entry : entries) {
                if (entry >> 1 == slot) {
                    return !byEvent || (entry & 1) == 1;
                }
            }
            return false;
        }

        BlockHolders with(int slot, boolean byEvent, Set<Integer> liveSlots) {
            int[] kept = Arrays.stream(entries)
                    .filter(entry -> entry >> 1 != slot && liveSlots.contains(entry >> 1))
                    .limit(MAX_HOLDERS - 1)
                    .toArray();
            int[] all = Arrays.copyOf(kept, kept.length + 1);
            all[kept.length] = entry(slot, byEvent);
            return new BlockHolders(all);
        }

        /**
         * Returns null if no other runner holds the block; the caller's {@code computeIfPresent} then removes the
         * block.
         */
        BlockHolders without(int slot) {
            int[] kept =
                    Arrays.stream(entries).filter(entry -> entry >> 1 != slot).toArray();
            return kept.length == 0 ? null : new BlockHolders(kept);
        }

        private static int entry(int slot, boolean byEvent) {
            return slot << 1 | (byEvent ? 1 : 0);
        }
    }
}
