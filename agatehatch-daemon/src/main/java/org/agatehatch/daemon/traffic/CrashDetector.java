package org.agatehatch.daemon.traffic;

import java.util.concurrent.CompletionStage;
import org.agatehatch.api.catalogue.BackendServer;

/** Finds out whether a backend server's process died, and records it against the requests that were in flight there. */
@FunctionalInterface
public interface CrashDetector {
    /**
     * Completes, never as a failure, once a crash is recorded where other nodes will find it, or was ruled out.
     *
     * @param runnerEpoch engine process that had begun to answer; empty if none had
     * @param sentAtMillis reading of the monotonic clock when the attempt was sent
     */
    CompletionStage<Void> detect(BackendServer server, String runnerEpoch, long sentAtMillis);
}
