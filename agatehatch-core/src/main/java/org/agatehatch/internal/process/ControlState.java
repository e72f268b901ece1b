package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * The node's copy of the replicated state. Belongs to the control thread, but for {@link #view()}, which any thread may
 * read.
 */
public final class ControlState implements TailTarget {
    private static final Logger log = LoggerFactory.getLogger(ControlState.class);

    private final ControlThread control;
    private final ReadinessGate startGate;
    private final Supplier<CompletionStage<Optional<byte[]>>> newestSnapshot;
    private final List<AppliedListener> listeners = new ArrayList<>();
    private ReplicatedState state = new ReplicatedState();
    private long malformedBatches;
    private volatile RoutingView view = RoutingView.EMPTY;

    /**
     * Creates the state before the first record.
     *
     * @param startGate is told what was read
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

    /** Adds a listener. To be called before the first record is read. */
    public void addListener(AppliedListener listener) {
        listeners.add(listener);
    }

    /** Returns the current view; may be called on any thread. */
    public RoutingView view() {
        return view;
    }

    /** Returns the replicated state; for the control thread only. */
    public ReplicatedState state() {
        return state;
    }

    /** Returns how many batches were skipped because they could not be read; for the control thread only. */
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
        List<Decided> decided = new ArrayList<>();
        for (StateRecord record : decode(logRecord)) {
            boolean repeat = state.decision(record.recordId()).isPresent();
            Acceptance acceptance = state.apply(offset, record);
            if (!repeat) {
                decided.add(new Decided(record, acceptance));
            }
        }
        // Published first, so that listeners find the change in the view.
        view = state.view();
        decided.forEach(item -> tell(listener -> listener.applied(offset, item.record(), item.acceptance())));
        startGate.onApplied(state.throughOffset());
    }

    @Override
    public void read(LogBatch batch) {
        startGate.onLogRead(batch.endOffset());
    }

    @Override
    public void readFailed(Throwable cause) {
        startGate.onLogReadFailed(cause.getMessage());
    }

    @Override
    public CompletionStage<Void> recover(long oldestOffset) {
        startGate.onLogGap(oldestOffset, nextOffset());
        return loadSnapshot();
    }

    /** Loads the newest snapshot and installs it if it is further than this state. */
    public CompletionStage<Void> loadSnapshot() {
        return newestSnapshot.get().thenAcceptAsync(snapshot -> snapshot.ifPresent(this::install), control::execute);
    }

    /**
     * Replaces the state by an encoded one if that one is further in the log. Returns whether it did.
     *
     * @throws AgatehatchException {@code BAD_FRAME} if the bytes are not a snapshot
     */
    public boolean install(byte[] snapshot) {
        ReplicatedState restored = SnapshotCodec.decode(snapshot);
        if (restored.throughOffset() <= state.throughOffset()) {
            return false;
        }
        log.info(
                "installed state through offset {} with catalogue version {}, before: offset {} and version {}",
                restored.throughOffset(),
                restored.catalogue().version(),
                state.throughOffset(),
                state.catalogue().version());
        state = restored;
        view = state.view();
        tell(listener -> listener.installed(state));
        startGate.onApplied(state.throughOffset());
        return true;
    }

    // A listener that fails must not keep the others, or the next record, from being handled.
    private void tell(Consumer<AppliedListener> news) {
        for (AppliedListener listener : listeners) {
            try {
                news.accept(listener);
            } catch (RuntimeException e) {
                log.error("a listener failed at offset {}", state.throughOffset(), e);
            }
        }
    }

    // All nodes skip a malformed batch alike, so their states stay equal.
    private List<StateRecord> decode(LogRecord logRecord) {
        try {
            return RecordBatchCodec.decode(logRecord.payload());
        } catch (AgatehatchException e) {
            malformedBatches++;
            log.warn("batch at offset {} is skipped: {}", logRecord.offset(), e.getMessage());
            return List.of();
        }
    }

    private record Decided(StateRecord record, Acceptance acceptance) {}
}
