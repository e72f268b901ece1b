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
 * Estimates which leading part of a prompt each runner has in its prefix cache, from the engines' cache events and, as
 * weaker evidence, from what this node sent. The number of blocks is bounded; the least recently used ones go first.
 *
 * <p>Lookups may run on any thread. The events of one runner must be applied by one thread at a time.
 */
public final class PrefixIndex {
    private final MonotonicClock clock;
    private final long silenceNanos;
    private final Cache<Long, BlockHolders> holdersByBlock;
    /** Lookups of a decision probe a few blocks of a chain; counted as uses, they would make holes in the chain. */
    private final Policy<Long, BlockHolders> holdersPolicy;

    private final Map<String, CacheConfidence> confidenceByRunner = new ConcurrentHashMap<>();
    private final AtomicInteger nextSlot = new AtomicInteger();
    private final Set<Integer> liveSlots = ConcurrentHashMap.newKeySet();

    /**
     * Creates an empty index.
     *
     * @param maxBlocks most blocks kept; each takes about 150 bytes
     * @param silenceMillis time without events after which a runner's trust is halved
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

    /** Applies cache events of a runner. Events that are not newer than the last ones are ignored. */
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
            // A process whose first events were missed started with content that is not known.
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

    /** Notes that this node sent a prompt to a runner, whose cache will then probably hold it. */
    public void recordSent(String runner, long[] promptBlocks) {
        int slot = confidenceByRunner
                .computeIfAbsent(runner, name -> CacheConfidence.unknown(newSlot(), clock.nanos()))
                .slot();
        for (long block : promptBlocks) {
            addHolder(block, slot, false);
        }
    }

    /** Forgets a runner whose cache is gone, for example because its process ended. */
    public void invalidate(String runner) {
        retireSlot(confidenceByRunner.remove(runner), -1);
    }

    /** Returns how far the events of a runner are believed, 0 to 1. */
    public double confidence(String runner) {
        CacheConfidence trust = confidenceByRunner.get(runner);
        return trust == null ? 0 : trust.decayedAt(clock.nanos(), silenceNanos);
    }

    /**
     * Returns for each runner how many leading bytes of the prompt its cache is expected to hold: the length found, each
     * part weighted with the trust in its evidence.
     */
    public double[] expectedCachedBytes(long[] promptBlocks, String[] runners) {
        double[] expected = new double[runners.length];
        if (promptBlocks.length == 0) {
            return expected;
        }
        long nowNanos = clock.nanos();
        int[] slots = new int[runners.length];
        double[] trusts = new double[runners.length];
        for (int i = 0; i < runners.length; i++) {
            CacheConfidence trust = confidenceByRunner.get(runners[i]);
            slots[i] = trust == null ? -1 : trust.slot();
            trusts[i] = trust == null ? 0 : trust.decayedAt(nowNanos, silenceNanos);
        }
        int[] anyDepths = cachedDepths(promptBlocks, slots, false);
        int[] eventDepths = cachedDepths(promptBlocks, slots, true);
        for (int i = 0; i < runners.length; i++) {
            double byEvents = eventDepths[i] * trusts[i];
            double byOwnSends = (anyDepths[i] - eventDepths[i]) * Math.min(trusts[i], CacheConfidence.OWN_SEND_CONFIDENCE);
            expected[i] = (byEvents + Math.max(0, byOwnSends)) * PromptBlocks.BLOCK_BYTES;
        }
        return expected;
    }

    /** Returns the number of blocks in the index. */
    public long blockCount() {
        holdersByBlock.cleanUp();
        return holdersByBlock.estimatedSize();
    }

    private CacheConfidence newConfidence(CacheEvents events, double trust) {
        return new CacheConfidence(newSlot(), events.runnerEpoch(), events.sequence(), trust, clock.nanos());
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
     * Engines drop the last blocks of a chain first, so a runner that holds a block holds all blocks before it. The
     * deepest block of each runner is therefore found by halving, for all runners together.
     */
    private int[] cachedDepths(long[] blocks, int[] slots, boolean byEvent) {
        int[] depths = new int[slots.length];
        int[] members = new int[slots.length];
        int count = 0;
        for (int i = 0; i < slots.length; i++) {
            if (slots[i] >= 0) {
                members[count++] = i;
            }
        }
        bisect(new Search(blocks, slots, byEvent, depths), members, count, 0, blocks.length);
        return depths;
    }

    /** Settles members that hold the first {@code low} blocks and at most {@code high}. */
    private void bisect(Search search, int[] members, int count, int low, int high) {
        if (count == 0) {
            return;
        }
        if (low == high) {
            for (int i = 0; i < count; i++) {
                search.depths[members[i]] = low;
            }
            return;
        }
        int middle = (low + high + 1) >>> 1;
        BlockHolders holders = holdersPolicy.getIfPresentQuietly(search.blocks[middle - 1]);
        if (holders == null) {
            bisect(search, members, count, low, middle - 1);
            return;
        }
        int[] holding = new int[count];
        int[] others = new int[count];
        int holdingCount = 0;
        int othersCount = 0;
        for (int i = 0; i < count; i++) {
            if (holders.holds(search.slots[members[i]], search.byEvent)) {
                holding[holdingCount++] = members[i];
            } else {
                others[othersCount++] = members[i];
            }
        }
        bisect(search, holding, holdingCount, middle, high);
        bisect(search, others, othersCount, low, middle - 1);
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

    /** The runners that hold one block. Immutable. Each element is a slot times 2, plus 1 if an event said so. */
    private static final class BlockHolders {
        /** A block that is cached on more runners than this is not a reason to prefer one of them. */
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

        /** Returns null if nobody else holds the block, which removes it from the index. */
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
