package org.agatehatch.daemon.traffic;

import java.util.concurrent.CompletionStage;
import org.agatehatch.api.catalogue.BackendServer;

/** Detects crashes of backend servers and records them against the requests that were in flight there. */
@FunctionalInterface
public interface CrashCheck {
    /**
     * Checks whether the process of a backend server crashed. Completes, never exceptionally, once the crash is
     * recorded where other nodes will find it, or is ruled out.
     *
     * @param runnerEpoch epoch of the engine process that had begun to respond; empty if none had
     * @param sentAtMillis time on the monotonic clock at which the attempt was sent
     */
    CompletionStage<Void> detect(BackendServer server, String runnerEpoch, long sentAtMillis);
}
