package org.agatehatch.daemon.traffic;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** Turns failures of stages and streams into errors with a code. */
public final class Failures {
    private Failures() {}

    /** Returns the failure without the wrappers that stages put around it. */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null
                && (cause instanceof CompletionException || cause instanceof ExecutionException)) {
            cause = cause.getCause();
        }
        return cause;
    }

    /** Wraps an unexpected failure, whose outcome is not known. */
    public static AgatehatchException toAgatehatchException(Throwable failure, String step) {
        Throwable cause = unwrap(failure);
        if (cause instanceof AgatehatchException known) {
            return known;
        }
        return new AgatehatchException(
                ErrorCode.INTERNAL,
                step,
                "self",
                Outcome.UNKNOWN,
                "unexpected " + cause.getClass().getSimpleName() + ": " + cause.getMessage()
                        + "; the node's log has the details",
                cause);
    }
}
