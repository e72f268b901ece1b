package org.agatehatch.experiment;

import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * What one run does.
 *
 * @param seed the same seed gives the same requests to every policy, and the same result to the same policy
 * @param minutes virtual time in which requests arrive
 * @param load offered work over the runners' capacity
 */
public record ExperimentSettings(
        DeploymentKind deployment, PolicyKind policy, AdmissionKind admission, long seed, double minutes, double load) {
    private static final double MOST_MINUTES = 600;
    private static final double MOST_LOAD = 10;

    public ExperimentSettings {
        check("minutes", minutes, MOST_MINUTES);
        check("load", load, MOST_LOAD);
    }

    private static void check(String name, double value, double most) {
        if (!(value > 0 && value <= most)) {
            throw new AgatehatchException(
                    ErrorCode.INVALID_SETTING,
                    "experiment",
                    "self",
                    Outcome.NOT_RUN,
                    name + " is " + value + "; give a value above 0 and at most " + most);
        }
    }
}
