package org.agatehatch.daemon.traffic;

import java.util.concurrent.CompletionStage;
import org.agatehatch.api.catalogue.BackendServer;

/** Sends one attempt of a request to a backend server. */
@FunctionalInterface
interface AttemptSender {
    /**
     * Completes when the response begins. The outcome of a failure says what is known about whether the attempt ran.
     */
    CompletionStage<AttemptResponse> send(BackendServer server, String attempt, long resumeFrom);
}
