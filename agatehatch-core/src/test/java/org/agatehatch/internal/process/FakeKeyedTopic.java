package org.agatehatch.internal.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.KeyedTopic;

/**
 * An in-memory keyed topic whose calls can fail, whose answers can be held back, whose history can be compacted, and which can
 * come back from an older copy.
 */
final class FakeKeyedTopic implements KeyedTopic {
    /** What all connections to the topic share. */
    private static final class Store {
        private final List<Entry> records = new ArrayList<>();
        private int firstOffset;
        private long era = 1;
    }

    private final Store store;
    private final VirtualTime time;
    private final long latencyMillis;
    private final List<Runnable> heldAnswers = new ArrayList<>();
    private boolean down;
    private boolean holding;
    private boolean losesAppendAnswer;
    private int reads;
    private int pageRecords = Integer.MAX_VALUE;

    FakeKeyedTopic(VirtualTime time, long latencyMillis) {
        this(time, latencyMillis, new Store());
    }

    private FakeKeyedTopic(VirtualTime time, long latencyMillis, Store store) {
        this.time = time;
        this.latencyMillis = latencyMillis;
        this.store = store;
    }

    /** Returns another connection to the same topic, which fails independently. */
    FakeKeyedTopic secondConnection() {
        return new FakeKeyedTopic(time, latencyMillis, store);
    }

    void put(String key, String value) {
        append(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
    }

    void drop(String key) {
        append(key, Optional.empty());
    }

    private void append(String key, Optional<byte[]> value) {
        store.records.add(new Entry(key, value, store.records.size()));
    }

    int size() {
        return store.records.size();
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    /** Computes answers on this connection as before, but delivers them only at {@link #releaseAnswers()}. */
    void holdAnswers() {
        holding = true;
    }

    void releaseAnswers() {
        holding = false;
        List.copyOf(heldAnswers).forEach(Runnable::run);
        heldAnswers.clear();
    }

    /** Executes the next append on this connection and answers it with a failure. */
    void loseNextAppendAnswer() {
        losesAppendAnswer = true;
    }

    /** Discards the history: reads from an earlier offset are truncated, and a snapshot is needed. */
    void compact() {
        store.firstOffset = store.records.size();
    }

    /** Comes back from a copy with the first records only, in a new era. */
    void restoreTo(int size) {
        store.records.subList(size, store.records.size()).clear();
        store.firstOffset = Math.min(store.firstOffset, size);
        store.era++;
    }

    /** Sets how many records a read returns at most. */
    void setPageRecords(int count) {
        pageRecords = count;
    }

    int reads() {
        return reads;
    }

    @Override
    public CompletionStage<Snapshot> snapshot() {
        reads++;
        return respond(() -> {
            Map<String, Entry> newest = new LinkedHashMap<>();
            store.records.forEach(entry -> newest.put(entry.key(), entry));
            List<Entry> present = newest.values().stream()
                    .filter(entry -> entry.value().isPresent())
                    .toList();
            return new Snapshot(present, store.records.size(), store.era);
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
        boolean nothingNew = fromOffset == store.records.size() && remainingMillis > 0 && !down;
        if (nothingNew) {
            time.runAfter(10, () -> awaitChange(fromOffset, remainingMillis - 10, result));
            return;
        }
        respond(() -> read(fromOffset)).whenComplete((changes, failure) -> {
            if (failure == null) {
                result.complete(changes);
            } else {
                result.completeExceptionally(failure);
            }
        });
    }

    private Changes read(long fromOffset) {
        int end = store.records.size();
        if (fromOffset < store.firstOffset || fromOffset > end) {
            return new Changes(List.of(), fromOffset, end, true, store.era);
        }
        int next = (int) Math.min(end, fromOffset + pageRecords);
        return new Changes(store.records.subList((int) fromOffset, next), next, end, false, store.era);
    }

    @Override
    public CompletionStage<AppendResult> appendAt(String key, byte[] value, long expectedEnd) {
        return respond(() -> {
            boolean appended = expectedEnd == store.records.size();
            if (appended) {
                append(key, Optional.of(value));
            }
            if (losesAppendAnswer) {
                losesAppendAnswer = false;
                throw new IllegalStateException("the answer is lost");
            }
            return new AppendResult(appended, store.era);
        });
    }

    private <T> CompletionStage<T> respond(Supplier<T> result) {
        CompletableFuture<T> response = new CompletableFuture<>();
        time.runAfter(latencyMillis, () -> {
            if (down) {
                response.completeExceptionally(new IllegalStateException("the store is down"));
                return;
            }
            T value;
            try {
                value = result.get();
            } catch (IllegalStateException e) {
                response.completeExceptionally(e);
                return;
            }
            if (holding) {
                heldAnswers.add(() -> response.complete(value));
            } else {
                response.complete(value);
            }
        });
        return response;
    }
}
