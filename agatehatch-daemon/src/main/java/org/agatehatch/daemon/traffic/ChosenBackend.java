package org.agatehatch.daemon.traffic;

import org.agatehatch.api.catalogue.BackendServer;

/**
 * The backend server chosen for an attempt.
 *
 * @param observer receives the progress of the attempt, for load estimates and the queue
 */
public record ChosenBackend(BackendServer server, AttemptObserver observer) {
    /** Receives the progress of an attempt. Only the first call of each method has an effect. */
    public interface AttemptObserver {
        /** Called when a frame of the response arrives. */
        void onFirstFrame();

        /** Called when the attempt ends. */
        void onAttemptEnd(AttemptResult result);
    }
}
