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

/** A keyed topic in memory, whose calls can fail, and whose records can be forgotten. */
final class FakeKeyedTopic implements KeyedTopic {
    private final List<Entry> records;
    private final VirtualTime time;
    private final long latencyMillis;
    private final long[] firstKept;
    private boolean setDown;
    private int reads;

    FakeKeyedTopic(VirtualTime time, long latencyMillis) {
        this(time, latencyMillis, new ArrayList<>(), new long[1]);
    }

    private FakeKeyedTopic(VirtualTime time, long latencyMillis, List<Entry> records, long[] firstKept) {
        this.time = time;
        this.latencyMillis = latencyMillis;
        this.records = records;
        this.firstKept = firstKept;
    }

    /** Returns the same topic as another node reaches it, with failures of its own. */
    FakeKeyedTopic secondConnection() {
        return new FakeKeyedTopic(time, latencyMillis, records, firstKept);
    }

    void put(String key, String value) {
        records.add(new Entry(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)), records.size()));
    }

    void drop(String key) {
        records.add(new Entry(key, Optional.empty(), records.size()));
    }

    void setDown(boolean isDown) {
        setDown = isDown;
    }

    /** Forgets all records but the newest of each key. */
    void compact() {
        firstKept[0] = records.size();
    }

    int reads() {
        return reads;
    }

    @Override
    public CompletionStage<Snapshot> snapshot() {
        reads++;
        return answer(() -> {
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

    private void awaitChange(long fromOffset, long leftMillis, CompletableFuture<Changes> result) {
        boolean nothingNew = fromOffset >= records.size() && leftMillis > 0 && !setDown;
        if (nothingNew) {
            time.runAfter(10, () -> awaitChange(fromOffset, leftMillis - 10, result));
            return;
        }
        answer(() -> fromOffset < firstKept[0]
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
        return answer(() -> {
            if (expectedEnd != records.size()) {
                return false;
            }
            records.add(new Entry(key, Optional.of(value), records.size()));
            return true;
        });
    }

    private <T> CompletionStage<T> answer(java.util.function.Supplier<T> result) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        time.runAfter(latencyMillis, () -> {
            if (setDown) {
                answer.completeExceptionally(new IllegalStateException("the store is down"));
            } else {
                answer.complete(result.get());
            }
        });
        return answer;
    }
}
