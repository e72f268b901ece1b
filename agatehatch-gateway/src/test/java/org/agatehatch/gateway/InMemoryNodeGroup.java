package org.agatehatch.gateway;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.fleet.NodeGroup;

/** A node group in memory, with one partition for each member. Members expire after a time without renewal. Thread-safe. */
final class InMemoryNodeGroup implements NodeGroup {
    private final long ttlMillis;
    private final Map<String, Long> renewedNanosByMember = new TreeMap<>();
    private long generation = 1;

    InMemoryNodeGroup(long ttlMillis) {
        this.ttlMillis = ttlMillis;
    }

    @Override
    public synchronized CompletionStage<Assignment> renew(String member, long seenGeneration) {
        expire();
        if (renewedNanosByMember.put(member, System.nanoTime()) == null) {
            generation++;
        }
        return CompletableFuture.completedFuture(new Assignment(generation, Set.of(member), 0));
    }

    @Override
    public synchronized CompletionStage<List<Ownership>> owners() {
        expire();
        return CompletableFuture.completedFuture(renewedNanosByMember.keySet().stream()
                .map(member -> new Ownership(member, member))
                .toList());
    }

    @Override
    public synchronized CompletionStage<Void> leave(String member) {
        if (renewedNanosByMember.remove(member) != null) {
            generation++;
        }
        return CompletableFuture.completedFuture(null);
    }

    private void expire() {
        long nowNanos = System.nanoTime();
        if (renewedNanosByMember.values().removeIf(renewed -> nowNanos - renewed > ttlMillis * 1_000_000)) {
            generation++;
        }
    }
}
