package org.agatehatch.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.fleet.KeyedTopic;

/** A keyed topic in memory that several nodes share. Thread-safe. */
final class InMemoryTopic implements KeyedTopic {
    private final List<Entry> records = new ArrayList<>();

    synchronized void put(String key, String value) {
        records.add(new Entry(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)), records.size()));
    }

    synchronized void remove(String key) {
        records.add(new Entry(key, Optional.empty(), records.size()));
    }

    @Override
    public synchronized CompletionStage<Snapshot> snapshot() {
        Map<String, Entry> newest = new LinkedHashMap<>();
        records.forEach(entry -> newest.put(entry.key(), entry));
        List<Entry> present = newest.values().stream()
                .filter(entry -> entry.value().isPresent())
                .toList();
        return CompletableFuture.completedFuture(new Snapshot(present, records.size(), 0));
    }

    @Override
    public CompletionStage<Changes> changes(long fromOffset, long waitMillis) {
        Changes changes = changes(fromOffset);
        if (!changes.entries().isEmpty() || waitMillis == 0) {
            return CompletableFuture.completedFuture(changes);
        }
        return CompletableFuture.supplyAsync(
                () -> changes(fromOffset), CompletableFuture.delayedExecutor(waitMillis, TimeUnit.MILLISECONDS));
    }

    private synchronized Changes changes(long fromOffset) {
        int from = (int) Math.min(fromOffset, records.size());
        List<Entry> entries = List.copyOf(records.subList(from, records.size()));
        return new Changes(entries, records.size(), records.size(), false, 0);
    }

    @Override
    public synchronized CompletionStage<AppendResult> appendAt(String key, byte[] value, long expectedEnd) {
        boolean appended = expectedEnd == records.size();
        if (appended) {
            records.add(new Entry(key, Optional.of(value), records.size()));
        }
        return CompletableFuture.completedFuture(new AppendResult(appended, 0));
    }
}
