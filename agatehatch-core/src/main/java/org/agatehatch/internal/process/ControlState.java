package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;
import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.ReplicatedState;
import org.agatehatch.internal.version.RoutingView;
import org.agatehatch.internal.version.SnapshotCodec;
import org.agatehatch.internal.version.record.RecordBatchCodec;
import org.agatehatch.internal.version.record.StateRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's copy of the replicated state. Owned by the control thread, except for {@link #view()}, which any
 * thread may read.
 */
public final class ControlState implements LogConsumer {
    private static final Logger log = LoggerFactory.getLogger(ControlState.class);

    private final ControlThread control;
    private final ReadinessGate startGate;
    private final Supplier<CompletionStage<Optional<byte[]>>> newestSnapshot;
    private final List<ReplicatedStateListener> listeners = new ArrayList<>();
    private ReplicatedState state = new ReplicatedState();
    private long malformedBatches;
    private CompletableFuture<Void> snapshotLoad = CompletableFuture.completedFuture(null);
    private volatile RoutingView view = RoutingView.EMPTY;

    /**
     * Creates the state before the first record.
     *
     * @param startGate is notified of the progress and failures of reading
     * @param newestSnapshot loads the newest snapshot from the log
     */
    public ControlState(
            ControlThread control,
            ReadinessGate startGate,
            Supplier<CompletionStage<Optional<byte[]>>> newestSnapshot) {
        this.control = control;
        this.startGate = startGate;
        this.newestSnapshot = newestSnapshot;
    }

    /** Adds a listener. Must be called before the first record is read. */
    public void addListener(ReplicatedStateListener listener) {
        listeners.add(listener);
    }

    /** Returns the current view. May be called on any thread. */
    public RoutingView view() {
        return view;
    }

    /** Returns the replicated state. Must be called on the control thread. */
    public ReplicatedState state() {
        return state;
    }

    /**
     * Returns how many batches were skipped because they could not be decoded. Must be called on the control thread.
     */
    public long malformedBatches() {
        return malformedBatches;
    }

    @Override
    public long nextOffset() {
        return state.throughOffset() + 1;
    }

    @Override
    public void apply(LogRecord logRecord) {
        long offset = logRecord.offset();
        state.advanceTo(offset);
        List<DecidedRecord> decided = new ArrayList<>();
        for (StateRecord record : decode(logRecord)) {
            boolean repeat = state.decision(record.recordId()).isPresent();
            Acceptance acceptance = state.apply(offset, record);
            if (!repeat) {
                decided.add(new DecidedRecord(record, acceptance));
            }
        }
        // The view is published before the listeners are notified, so that they see the change in it.
        view = state.view();
        decided.forEach(decision -> notifyListeners(
                listener -> listener.onRecordApplied(offset, decision.record(), decision.acceptance())));
        startGate.onApplied(state.throughOffset());
    }

    @Override
    public void onBatchRead(LogBatch batch) {
        startGate.onLogRead(batch.endOffset());
    }

    @Override
    public void onReadFailed(Throwable cause) {
        startGate.onLogReadFailed(cause.getMessage());
    }

    @Override
    public CompletionStage<Void> recoverFromGap(long oldestOffset) {
        startGate.onLogGap(oldestOffset, nextOffset());
        return loadSnapshot();
    }

    /**
     * Loads the newest snapshot and installs it if it covers a later offset than this state. A load that has not ended is not
     * started again, since the two would slow each other. Must be called on the control thread.
     */
    public CompletionStage<Void> loadSnapshot() {
        CompletableFuture<Void> inFlight = snapshotLoad;
        if (!inFlight.isDone()) {
            return inFlight;
        }
        snapshotLoad = newestSnapshot
                .get()
                .thenAcceptAsync(snapshot -> snapshot.ifPresent(this::install), control::execute)
                .toCompletableFuture();
        return snapshotLoad;
    }

    /**
     * Replaces the state with a snapshot if the snapshot covers a later offset. Returns whether the state was
     * replaced.
     *
     * @throws AgatehatchException {@code BAD_FRAME} if the bytes are not a snapshot
     */
    public boolean install(byte[] snapshot) {
        ReplicatedState restored = SnapshotCodec.decode(snapshot);
        if (restored.throughOffset() <= state.throughOffset()) {
            return false;
        }
        log.info(
                "installed state through offset {} with catalogue version {}, replacing offset {} with version {}",
                restored.throughOffset(),
                restored.catalogue().version(),
                state.throughOffset(),
                state.catalogue().version());
        state = restored;
        view = state.view();
        notifyListeners(listener -> listener.onStateInstalled(state));
        startGate.onApplied(state.throughOffset());
        return true;
    }

    // An exception in one listener must not keep the other listeners or the next record from being processed.
    private void notifyListeners(Consumer<ReplicatedStateListener> notification) {
        for (ReplicatedStateListener listener : listeners) {
            try {
                notification.accept(listener);
            } catch (RuntimeException e) {
                log.error(
                        "replicated state listener failed at offset {}; continuing with the next listener",
                        state.throughOffset(),
                        e);
            }
        }
    }

    // Every node skips a malformed batch, so the states of all nodes stay equal.
    private List<StateRecord> decode(LogRecord logRecord) {
        try {
            return RecordBatchCodec.decode(logRecord.payload());
        } catch (AgatehatchException e) {
            malformedBatches++;
            log.warn("skipping malformed batch at offset {}: {}", logRecord.offset(), e.getMessage());
            return List.of();
        }
    }

    private record DecidedRecord(StateRecord record, Acceptance acceptance) {}
}
