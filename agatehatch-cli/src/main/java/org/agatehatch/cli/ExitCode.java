package org.agatehatch.cli;

import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** Exit codes for scripts. Their numbers are part of the public interface. */
public enum ExitCode {
    OK(0, "ok"),
    FAILED(1, "the node or the network failed, or a load run found corrupt answers"),
    USAGE(2, "wrong usage"),
    INVALID_CATALOGUE(3, "invalid catalogue"),
    VERSION_CONFLICT(4, "version conflict"),
    WAIT_TIMEOUT(5, "timeout of --wait"),
    OUTCOME_UNKNOWN(6, "outcome unknown: the change may have taken effect");

    /** Step of the error that a timeout of {@code --wait} causes. */
    public static final String WAIT_STEP = "wait";

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /** Returns the number that the process ends with. */
    public int number() {
        return number;
    }

    /** Returns one line for the help text. */
    public String meaning() {
        return meaning;
    }

    /** Returns the exit code for an error. */
    public static ExitCode of(AgatehatchException error) {
        if (error.outcome() == Outcome.UNKNOWN) {
            return OUTCOME_UNKNOWN;
        }
        return switch (error.code()) {
            case INVALID_SETTING -> USAGE;
            case INVALID_CATALOGUE, CATALOGUE_DOES_NOT_FIT -> INVALID_CATALOGUE;
            case VERSION_CONFLICT -> VERSION_CONFLICT;
            default ->
                error.code() == ErrorCode.DEADLINE_EXCEEDED && error.step().equals(WAIT_STEP) ? WAIT_TIMEOUT : FAILED;
        };
    }
}
