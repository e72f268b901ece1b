package org.agatehatch.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * The faults in force of one stand-in.
 *
 * @param <F> record of the stand-in's faults
 */
public final class FaultBox<F extends CommonFaults> {
    private final Class<F> type;
    private final List<Consumer<F>> listeners = new CopyOnWriteArrayList<>();
    private volatile F current;
    private CompletableFuture<Void> thawed = CompletableFuture.completedFuture(null);

    public FaultBox(Class<F> type, F initial) {
        this.type = type;
        // Triggers count down, so stand-ins that start with the same settings must not share them.
        set(Json.merge(initial, Json.object(), type));
    }

    /** Returns the faults in force. */
    public F get() {
        return current;
    }

    /** Calls {@code listener} after each change, on the thread that made it. */
    public void onChange(Consumer<F> listener) {
        listeners.add(listener);
    }

    /** Replaces all faults. */
    public void set(F faults) {
        CompletableFuture<Void> released = null;
        synchronized (this) {
            current = faults;
            if (faults.frozen() && thawed.isDone()) {
                thawed = new CompletableFuture<>();
            } else if (!faults.frozen()) {
                released = thawed;
            }
        }
        listeners.forEach(listener -> listener.accept(faults));
        if (released != null) {
            released.complete(null);
        }
    }

    /** Replaces the faults that {@code changes} names; fails with {@code INVALID_REQUEST}. */
    public F merge(JsonNode changes) {
        F merged;
        synchronized (this) {
            merged = Json.merge(current, changes, type);
            current = merged;
        }
        set(merged);
        return current;
    }

    /** Replaces the faults that a JSON text names; fails with {@code INVALID_REQUEST}. */
    public F merge(String json) {
        return merge(Json.tree(json.getBytes(StandardCharsets.UTF_8)));
    }

    /** Completes when the stand-in is not frozen. */
    public synchronized CompletionStage<Void> thawed() {
        return thawed;
    }
}
