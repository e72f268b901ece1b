package org.agatehatch.internal.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.fleet.KeyedTopic;

/** An in-memory keyed topic whose calls can fail and whose history can be compacted. */
final class FakeKeyedTopic implements KeyedTopic {
    private final List<Entry> records;
    private final VirtualTime time;
    private final long latencyMillis;
    private final long[] firstOffset;
    private boolean down;
    private int reads;

    FakeKeyedTopic(VirtualTime time, long latencyMillis) {
        this(time, latencyMillis, new ArrayList<>(), new long[1]);
    }

    private FakeKeyedTopic(VirtualTime time, long latencyMillis, List<Entry> records, long[] firstOffset) {
        this.time = time;
        this.latencyMillis = latencyMillis;
        this.records = records;
        this.firstOffset = firstOffset;
    }

    /** Returns another connection to the same topic, which fails independently. */
    FakeKeyedTopic secondConnection() {
        return new FakeKeyedTopic(time, latencyMillis, records, firstOffset);
    }

    void put(String key, String value) {
        records.add(new Entry(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)), records.size()));
    }

    void drop(String key) {
        records.add(new Entry(key, Optional.empty(), records.size()));
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    /** Discards the history: reads from an earlier offset are truncated, and a snapshot is needed. */
    void compact() {
        firstOffset[0] = records.size();
    }

    int reads() {
        return reads;
    }

    @Override
    public CompletionStage<Snapshot> snapshot() {
        reads++;
        return respond(() -> {
            Map<String, Entry> newest = new LinkedHashMap<>();
            records.forEach(entry -> newest.put(entry.key(), entry));
            List<Entry> present = newest.values().stream()
                    .filter(entry -> entry.value().isPresent())
                    .toList();
            return new Snapshot(present, records.size());
        });
    }

    @Override
    public CompletionStage<Changes> changes(long fromOffset, long waitMillis) {
        reads++;
        CompletableFuture<Changes> result = new CompletableFuture<>();
        awaitChange(fromOffset, waitMillis, result);
        return result;
    }

    private void awaitChange(long fromOffset, long remainingMillis, CompletableFuture<Changes> result) {
        boolean nothingNew = fromOffset >= records.size() && remainingMillis > 0 && !down;
        if (nothingNew) {
            time.runAfter(10, () -> awaitChange(fromOffset, remainingMillis - 10, result));
            return;
        }
        respond(() -> fromOffset < firstOffset[0]
                        ? new Changes(List.of(), fromOffset, records.size(), true)
                        : new Changes(
                                records.subList((int) Math.min(fromOffset, records.size()), records.size()),
                                records.size(),
                                records.size(),
                                false))
                .whenComplete((changes, failure) -> {
                    if (failure == null) {
                        result.complete(changes);
                    } else {
                        result.completeExceptionally(failure);
                    }
                });
    }

    @Override
    public CompletionStage<Boolean> appendAt(String key, byte[] value, long expectedEnd) {
        return respond(() -> {
            if (expectedEnd != records.size()) {
                return false;
            }
            records.add(new Entry(key, Optional.of(value), records.size()));
            return true;
        });
    }

    private <T> CompletionStage<T> respond(java.util.function.Supplier<T> result) {
        CompletableFuture<T> response = new CompletableFuture<>();
        time.runAfter(latencyMillis, () -> {
            if (down) {
                response.completeExceptionally(new IllegalStateException("the store is down"));
            } else {
                response.complete(result.get());
            }
        });
        return response;
    }
}
