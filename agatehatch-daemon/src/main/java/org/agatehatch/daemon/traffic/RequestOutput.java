package org.agatehatch.daemon.traffic;

import org.agatehatch.internal.request.ClaimAnswer;
import org.agatehatch.internal.request.FinalError;

/** Output of a {@link RequestExecution} for the caller. */
sealed interface RequestOutput {
    /** Payload of one frame. */
    @SuppressWarnings("ArrayRecordComponent") // Payloads are forwarded and never compared.
    record Payload(byte[] data) implements RequestOutput {}

    /** The response is complete. */
    record Complete(int status, String contentType) implements RequestOutput {}

    /** Stored response of an earlier request with the same idempotency key. */
    record Replayed(ClaimAnswer.Settled stored) implements RequestOutput {}

    /** The request ended with an error. */
    record Failure(FinalError error) implements RequestOutput {}

    /** The current attempt has no further output. Used only inside {@link RequestExecution}. */
    record AttemptEnded() implements RequestOutput {}
}
