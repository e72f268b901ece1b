package org.agatehatch.daemon.traffic;

import java.util.Optional;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.FinalError;

/** Receives the progress of a request, for metrics, accounts and the log. */
interface RequestObserver {
    /** Error of a request whose caller disconnected before the response was complete. */
    FinalError CALLER_GONE = new FinalError(
            ErrorCode.DEADLINE_EXCEEDED, "send answer", "caller", Outcome.UNKNOWN, 0, "the caller disconnected");

    /** Called when a frame is released to the caller. */
    void onFrame(long index, byte[] data);

    /** Called when an attempt is sent to a backend server. */
    void onDispatch(ChosenBackend chosen, String attempt, long resumeFrom);

    /** Called when an attempt ends. */
    void onAttemptEnd(ChosenBackend chosen, AttemptResult result);

    /** Called when the request ends. An empty error means that the whole response was released to the caller. */
    void onEnd(Optional<FinalError> error);
}
