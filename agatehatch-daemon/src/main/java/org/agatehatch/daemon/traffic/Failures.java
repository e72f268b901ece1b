package org.agatehatch.daemon.traffic;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** Converts failures of completion stages and streams to {@link AgatehatchException}. */
public final class Failures {
    private Failures() {}

    /** Returns the failure without the exceptions that completion stages and futures wrap around it. */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null
                && (cause instanceof CompletionException || cause instanceof ExecutionException)) {
            cause = cause.getCause();
        }
        return cause;
    }

    /** Returns the unwrapped failure, or wraps one of another type as {@code INTERNAL} with an unknown outcome. */
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
                        + "; see the log of the node",
                cause);
    }
}
