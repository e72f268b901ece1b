package org.agatehatch.daemon.traffic;

import java.util.Optional;

/** Tells the request that is being handled on a caller's connection when the connection has closed. Thread-safe. */
public final class CallerPresence {
    private Optional<Runnable> action = Optional.empty();
    private boolean left;

    /** Sets what is done when the caller leaves, instead of what was set for its last request. Done at once if it has left. */
    public void whenLeft(Runnable next) {
        synchronized (this) {
            if (!left) {
                action = Optional.of(next);
                return;
            }
        }
        next.run();
    }

    /** Called when the connection has closed. */
    public void leave() {
        Optional<Runnable> pending;
        synchronized (this) {
            left = true;
            pending = action;
            action = Optional.empty();
        }
        pending.ifPresent(Runnable::run);
    }
}
