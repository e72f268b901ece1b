package org.agatehatch.internal.process;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Arrays;
import java.util.List;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Assigns each long shared prompt prefix to home replicas, so that its requests go to the same caches. Rendezvous
 * hashing makes all nodes choose the same homes without coordination. The number of homes grows with the load of the
 * prefix, so that the load spreads before a home is overloaded. Thread-safe.
 */
public final class PrefixAffinity {
    /**
     * Follows a burst within seconds, yet keeps homes across short gaps, such as between the questions of two lessons.
     */
    private static final double LOAD_TIME_CONSTANT_SECONDS = 10;

    private final MonotonicClock clock;
    private final double tokensPerSecondPerHome;
    private final Cache<Long, DecayingRate> loadByPrefix;
    /**
     * Caches name hashes by replica list, compared by identity. Reading the names of hundreds of replicas took a
     * third of the time of a routing decision.
     */
    private final Cache<List<String>, int[]> nameHashes =
            Caffeine.newBuilder().weakKeys().executor(Runnable::run).build();

    /**
     * Creates an instance without any recorded load.
     *
     * @param tokensPerSecondPerHome prompt tokens per second of one prefix, over all nodes, that one home can take;
     *     less than the throughput of a runner, which serves other prompts as well
     * @param maxPrefixes largest number of prefixes whose load is tracked
     */
    public PrefixAffinity(MonotonicClock clock, double tokensPerSecondPerHome, long maxPrefixes) {
        this.clock = clock;
        this.tokensPerSecondPerHome = tokensPerSecondPerHome;
        this.loadByPrefix = Caffeine.newBuilder()
                .maximumSize(maxPrefixes)
                .executor(Runnable::run)
                .build();
    }

    /** Records a request of this node whose prompt starts with the prefix; 0 stands for no prefix. */
    public void recordRequest(long prefixHash, long promptTokens) {
        if (prefixHash != 0) {
            loadByPrefix
                    .get(prefixHash, hash -> new DecayingRate(clock, LOAD_TIME_CONSTANT_SECONDS))
                    .add((double) promptTokens);
        }
    }

    /**
     * Returns the current number of homes of the prefix.
     *
     * @param liveNodes number of nodes that serve callers; all are assumed to see about the same load of the prefix
     */
    public int homeCount(long prefixHash, int replicas, int liveNodes) {
        DecayingRate localRate = loadByPrefix.getIfPresent(prefixHash);
        double tokensPerSecond = localRate == null ? 0 : localRate.perSecond() * Math.max(1, liveNodes);
        return (int) Math.min(replicas, 1 + Math.floor(tokensPerSecond / tokensPerSecondPerHome));
    }

    /**
     * Returns the homes of the prefix among the replicas, in the order in which growing load adds them; empty if the
     * hash is 0.
     *
     * @param replicas names of the replicas; must not be modified afterwards, since hashes are cached by list identity
     */
    public List<String> homes(long prefixHash, List<String> replicas, int liveNodes) {
        if (prefixHash == 0 || replicas.isEmpty()) {
            return List.of();
        }
        return rank(prefixHash, replicas, homeCount(prefixHash, replicas.size(), liveNodes));
    }

    private List<String> rank(long key, List<String> replicas, int count) {
        int[] hashes = nameHashes.get(replicas, PrefixAffinity::hashes);
        if (count == 1) {
            return List.of(replicas.get(highest(key, replicas, hashes)));
        }
        long[] weights =
                Arrays.stream(hashes).mapToLong(hash -> weight(key, hash)).toArray();
        Integer[] order = new Integer[hashes.length];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, (a, b) -> compare(weights, replicas, b, a));
        return Arrays.stream(order, 0, count).map(replicas::get).toList();
    }

    private static int[] hashes(List<String> replicas) {
        return replicas.stream().mapToInt(String::hashCode).toArray();
    }

    private static int highest(long key, List<String> replicas, int[] hashes) {
        int highest = 0;
        long highestWeight = weight(key, hashes[0]);
        for (int i = 1; i < hashes.length; i++) {
            long weight = weight(key, hashes[i]);
            int order = Long.compareUnsigned(weight, highestWeight);
            if (order > 0 || (order == 0 && replicas.get(i).compareTo(replicas.get(highest)) > 0)) {
                highest = i;
                highestWeight = weight;
            }
        }
        return highest;
    }

    private static int compare(long[] weights, List<String> replicas, int a, int b) {
        int byWeight = Long.compareUnsigned(weights[a], weights[b]);
        return byWeight != 0 ? byWeight : replicas.get(a).compareTo(replicas.get(b));
    }

    /**
     * Mixes the key with the name's hash by the SplitMix64 finalizer. {@link String#hashCode} is the same in every Java
     * runtime.
     */
    private static long weight(long key, int nameHash) {
        long mixed = key + 0x9E3779B97F4A7C15L * nameHash;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
