package org.agatehatch.daemon.traffic;

import org.agatehatch.api.catalogue.BackendServer;

/**
 * A backend server that was chosen for an attempt.
 *
 * @param observer is told that the attempt's answer began and how it ended, for load estimates and the queue
 */
public record ChosenBackend(BackendServer server, AttemptObserver observer) {
    /** Is told how an attempt goes on. Each method takes effect once. */
    public interface AttemptObserver {
        /** The first frame arrived. */
        void onFirstFrame();

        /** The attempt ended. */
        void onAttemptEnd(AttemptResult result);
    }
}
