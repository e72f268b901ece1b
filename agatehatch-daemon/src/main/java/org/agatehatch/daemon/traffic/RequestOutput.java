package org.agatehatch.daemon.traffic;

import org.agatehatch.internal.request.ClaimAnswer;
import org.agatehatch.internal.request.FinalError;

/** What a request's run produces for its caller. */
sealed interface RequestOutput {
    /** Payload of one frame. */
    @SuppressWarnings("ArrayRecordComponent") // Payloads are passed on and never compared.
    record Payload(byte[] data) implements RequestOutput {}

    /** The answer is complete. */
    record Complete(int status, String contentType) implements RequestOutput {}

    /** The request ran earlier; this is its stored answer. */
    record Replayed(ClaimAnswer.Settled stored) implements RequestOutput {}

    /** The request ended with an error. */
    record Failure(FinalError error) implements RequestOutput {}

    /** Nothing more comes from the present attempt. Never leaves {@link RequestExecution}. */
    record AttemptEnded() implements RequestOutput {}
}
