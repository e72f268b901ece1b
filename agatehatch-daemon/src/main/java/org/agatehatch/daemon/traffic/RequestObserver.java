package org.agatehatch.daemon.traffic;

import java.util.Optional;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.FinalError;

/** Is told how a request goes on, for metrics, accounts and the log. */
interface RequestObserver {
    /** Stands for the error of a request whose caller left before it was answered. */
    FinalError CALLER_GONE =
            new FinalError(ErrorCode.DEADLINE_EXCEEDED, "send answer", "caller", Outcome.UNKNOWN, 0, "the caller left");

    /** A frame was released to the caller. */
    void onFrame(long index, byte[] data);

    /** An attempt was sent to a backend server. */
    void onDispatch(ChosenBackend chosen, String attempt, long resumeFrom);

    /** An attempt ended. */
    void onAttemptEnd(ChosenBackend chosen, AttemptResult result);

    /** The request ended; no error means that the whole answer was released. */
    void onEnd(Optional<FinalError> error);
}
