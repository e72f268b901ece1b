package org.agatehatch.daemon.traffic;

import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.Outcome;

/** Result of an attempt, as far as it concerns the health of its backend server. */
public enum AttemptResult {
    /** The whole response arrived. */
    ANSWERED,
    /** The backend server refused the attempt and declared that it did not run. */
    REFUSED,
    /** The backend server refused the attempt because it is leaving. */
    LEAVING,
    /** The runner refused the attempt because the model is not resident there. */
    NOT_RESIDENT,
    /** No connection could be opened. */
    UNREACHABLE,
    /** The connection broke or the response was truncated. */
    BROKEN,
    /** The caller disconnected, or the deadline passed. */
    CANCELLED;

    /** Returns the result for an attempt that failed with an error. */
    static AttemptResult of(AgatehatchException error) {
        if (error.step().equals(EngineClient.LEAVING_STEP)) {
            return LEAVING;
        }
        if (error.step().equals(EngineClient.NOT_RESIDENT_STEP)) {
            return NOT_RESIDENT;
        }
        if (error.step().equals(EngineClient.CONNECT_STEP)) {
            return UNREACHABLE;
        }
        return error.outcome() == Outcome.NOT_RUN ? REFUSED : BROKEN;
    }
}
