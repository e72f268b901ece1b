package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Current usage of each owner, summed over all nodes. The rates of peers arrive with the gossip digest and count until
 * they are replaced, removed or expired. Thread-safe.
 */
public final class OwnerUsage {
    /** Maximum age of the cached sum over all nodes; digests arrive every 250 ms at best. */
    private static final long SUM_MAX_AGE_MILLIS = 100;

    private final MonotonicClock clock;
    private final double timeConstantSeconds;
    private final long peerExpiryNanos;
    private final Map<String, Rates> localUsage = new ConcurrentHashMap<>();
    private final Map<String, PeerUsage> peerUsageByNode = new ConcurrentHashMap<>();
    private volatile TotalUsage sum = new TotalUsage(Map.of(), 0, Long.MIN_VALUE);

    /**
     * Creates an instance without any recorded usage.
     *
     * @param timeConstantSeconds time in which the weight of past usage falls to 1/e
     * @param peerExpiryMillis age beyond which the rates of a peer no longer count
     */
    public OwnerUsage(MonotonicClock clock, double timeConstantSeconds, long peerExpiryMillis) {
        this.clock = clock;
        this.timeConstantSeconds = timeConstantSeconds;
        this.peerExpiryNanos = TimeUnit.MILLISECONDS.toNanos(peerExpiryMillis);
    }

    /** Records accelerator time in milliseconds and output tokens that an owner used through this node. */
    public void recordUsage(String owner, double acceleratorMillis, long outputTokens) {
        Rates rates = localUsage.computeIfAbsent(owner, name -> new Rates(clock, timeConstantSeconds));
        rates.acceleratorMillis.add(acceleratorMillis);
        rates.outputTokens.add((double) outputTokens);
    }

    /** Returns the usage through this node by owner, for the digest. */
    public Map<String, Usage> localUsage() {
        Map<String, Usage> usages = new HashMap<>();
        localUsage.forEach((owner, rates) -> usages.put(owner, rates.usage()));
        return usages;
    }

    /** Replaces the usage through a peer with newly received rates. */
    public void updatePeer(String node, Map<String, Usage> usageByOwner) {
        peerUsageByNode.put(node, new PeerUsage(Map.copyOf(usageByOwner), clock.nanos()));
    }

    /** Removes the usage through a peer that left. */
    public void removePeer(String node) {
        peerUsageByNode.remove(node);
    }

    /** Returns the owner's usage through all nodes, at most 100 ms old. */
    public Usage total(String owner) {
        return sum().byOwner.getOrDefault(owner, Usage.NONE);
    }

    /** Returns the owner's fraction of the accelerator time used by all owners, from 0 to 1; 0 if there is no usage. */
    public double share(String owner) {
        TotalUsage now = sum();
        return now.acceleratorMillis <= 0
                ? 0
                : now.byOwner.getOrDefault(owner, Usage.NONE).acceleratorMillisPerSecond / now.acceleratorMillis;
    }

    /** Returns the time in which a rate decays to a limit without further usage; 0 if it is not above the limit. */
    public long millisUntilBelow(double ratePerSecond, double limitPerSecond) {
        return ratePerSecond <= limitPerSecond
                ? 0
                : (long) Math.ceil(1_000 * timeConstantSeconds * Math.log(ratePerSecond / limitPerSecond));
    }

    private TotalUsage sum() {
        TotalUsage last = sum;
        long nowNanos = clock.nanos();
        boolean fresh = last.atNanos != Long.MIN_VALUE
                && nowNanos - last.atNanos < TimeUnit.MILLISECONDS.toNanos(SUM_MAX_AGE_MILLIS);
        if (fresh) {
            return last;
        }
        Map<String, Usage> byOwner = localUsage();
        for (PeerUsage peer : peerUsageByNode.values()) {
            if (nowNanos - peer.atNanos <= peerExpiryNanos) {
                peer.byOwner.forEach((owner, usage) -> byOwner.merge(owner, usage, Usage::plus));
            }
        }
        double acceleratorMillis = byOwner.values().stream()
                .mapToDouble(Usage::acceleratorMillisPerSecond)
                .sum();
        TotalUsage next = new TotalUsage(Map.copyOf(byOwner), acceleratorMillis, nowNanos);
        sum = next;
        return next;
    }

    /** Usage rates: accelerator milliseconds and output tokens per second. */
    public record Usage(double acceleratorMillisPerSecond, double outputTokensPerSecond) {
        /** Rates of an owner without usage. */
        public static final Usage NONE = new Usage(0, 0);

        private Usage plus(Usage other) {
            return new Usage(
                    acceleratorMillisPerSecond + other.acceleratorMillisPerSecond,
                    outputTokensPerSecond + other.outputTokensPerSecond);
        }
    }

    private static final class Rates {
        private final DecayingRate acceleratorMillis;
        private final DecayingRate outputTokens;

        private Rates(MonotonicClock clock, double timeConstantSeconds) {
            acceleratorMillis = new DecayingRate(clock, timeConstantSeconds);
            outputTokens = new DecayingRate(clock, timeConstantSeconds);
        }

        private Usage usage() {
            return new Usage(acceleratorMillis.perSecond(), outputTokens.perSecond());
        }
    }

    private record PeerUsage(Map<String, Usage> byOwner, long atNanos) {}

    private record TotalUsage(Map<String, Usage> byOwner, double acceleratorMillis, long atNanos) {}
}
