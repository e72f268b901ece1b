package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.time.MonotonicClock;

/**
 * What each owner uses at present, over all nodes. The rates of other nodes come with the digest and count until they
 * are replaced, removed, or too old.
 */
public final class OwnerUsage {
    /** The sum over all nodes is computed at most this often; the digest brings news every 250 ms at best. */
    private static final long SUM_MAX_AGE_MILLIS = 100;

    private final MonotonicClock clock;
    private final double timeConstantSeconds;
    private final long peerExpiryNanos;
    private final Map<String, Rates> localUsage = new ConcurrentHashMap<>();
    private final Map<String, PeerUsage> peerUsageByNode = new ConcurrentHashMap<>();
    private volatile TotalUsage sum = new TotalUsage(Map.of(), 0, Long.MIN_VALUE);

    /**
     * Creates an account without any use.
     *
     * @param timeConstantSeconds time in which the weight of past use falls to 1/e
     * @param longestSilenceMillis age beyond which another node's rates no longer count
     */
    public OwnerUsage(MonotonicClock clock, double timeConstantSeconds, long peerExpiryMillis) {
        this.clock = clock;
        this.timeConstantSeconds = timeConstantSeconds;
        this.peerExpiryNanos = TimeUnit.MILLISECONDS.toNanos(peerExpiryMillis);
    }

    /** Adds use of an owner through this node. */
    public void recordUsage(String owner, double acceleratorMillis, long outputTokens) {
        Rates rates = localUsage.computeIfAbsent(owner, name -> new Rates(clock, timeConstantSeconds));
        rates.acceleratorMillis.add(acceleratorMillis);
        rates.outputTokens.add((double) outputTokens);
    }

    /** Returns the use through this node, for the digest. */
    public Map<String, Usage> localUsage() {
        Map<String, Usage> usages = new HashMap<>();
        localUsage.forEach((owner, rates) -> usages.put(owner, rates.usage()));
        return usages;
    }

    /** Replaces what is known of the use through another node. */
    public void updatePeer(String node, Map<String, Usage> usageByOwner) {
        peerUsageByNode.put(node, new PeerUsage(Map.copyOf(usageByOwner), clock.nanos()));
    }

    /** Forgets a node that left. */
    public void removePeer(String node) {
        peerUsageByNode.remove(node);
    }

    /** Returns the owner's use through all nodes. */
    public Usage total(String owner) {
        return sum().byOwner.getOrDefault(owner, Usage.NONE);
    }

    /** Returns the owner's part of all accelerator time in use, 0 to 1; 0 if nothing is in use. */
    public double share(String owner) {
        TotalUsage now = sum();
        return now.acceleratorMillis <= 0
                ? 0
                : now.byOwner.getOrDefault(owner, Usage.NONE).acceleratorMillisPerSecond / now.acceleratorMillis;
    }

    /** Returns the time in which a rate falls to a limit if nothing more is used. */
    public long millisUntilBelow(double ratePerSecond, double limitPerSecond) {
        return ratePerSecond <= limitPerSecond
                ? 0
                : (long) Math.ceil(1_000 * timeConstantSeconds * Math.log(ratePerSecond / limitPerSecond));
    }

    private TotalUsage sum() {
        TotalUsage last = sum;
        long nowNanos = clock.nanos();
        boolean fresh =
                last.atNanos != Long.MIN_VALUE && nowNanos - last.atNanos < TimeUnit.MILLISECONDS.toNanos(SUM_MAX_AGE_MILLIS);
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

    /** Rates of use. */
    public record Usage(double acceleratorMillisPerSecond, double outputTokensPerSecond) {
        /** No use. */
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
