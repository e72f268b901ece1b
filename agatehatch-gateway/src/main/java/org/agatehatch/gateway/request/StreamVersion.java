package org.agatehatch.gateway.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.agatehatch.api.fleet.ServerEntry;

/**
 * The software version at which a resumable stream must go on. The version of the server that begins it is assumed from an entry that
 * may be older than the server's process, and holds once an entry that is newer than the connection confirms it.
 */
final class StreamVersion {
    private enum State {
        NOT_BEGUN,
        ASSUMED,
        CONFIRMED,
        /** The stream can go on nowhere. */
        UNKNOWN
    }

    private final ProcessCheck processCheck;
    private State state = State.NOT_BEGUN;
    private Optional<String> version = Optional.empty();
    private Optional<Runnable> waiter = Optional.empty();

    StreamVersion(ProcessCheck processCheck) {
        this.processCheck = processCheck;
    }

    /** Sets the recorded version of a stream that the caller takes up. */
    void takeUp(String recorded) {
        version = Optional.of(recorded);
        state = State.CONFIRMED;
    }

    /**
     * Sets the version by the server that sent the first event, unless the stream has begun before.
     *
     * @param processSinceNanos a time at which the process that sent it listened
     * @param onConfirmed receives the version once it is confirmed
     */
    void begin(ServerEntry server, long processSinceNanos, Consumer<String> onConfirmed) {
        if (state != State.NOT_BEGUN) {
            return;
        }
        version = Optional.of(server.softwareVersion());
        state = State.ASSUMED;
        processCheck.check(server, processSinceNanos, this::isOfVersion, confirmed -> {
            state = confirmed ? State.CONFIRMED : State.UNKNOWN;
            if (confirmed) {
                onConfirmed.accept(server.softwareVersion());
            }
            waiter.ifPresent(Runnable::run);
        });
    }

    /** Returns whether a server may go on with the stream, as far as its entry tells. */
    boolean isOfVersion(ServerEntry server) {
        return version.filter(server.softwareVersion()::equals).isPresent();
    }

    /** Returns the version that servers must have; empty while any will do. */
    Optional<String> required() {
        return version;
    }

    /** Returns whether the stream must not go on before its version is decided. */
    boolean isUndecided() {
        return state == State.ASSUMED;
    }

    /** Returns whether the stream can go on nowhere. */
    boolean isUnknown() {
        return state == State.UNKNOWN;
    }

    /** Runs a task once the version is decided. Replaces an earlier task. */
    void whenDecided(Runnable task) {
        waiter = Optional.of(task);
    }
}
