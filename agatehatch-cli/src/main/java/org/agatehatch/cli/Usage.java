package org.agatehatch.cli;

import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** Checks of options and arguments. */
public final class Usage {
    private Usage() {}

    /** Returns an error that ends the program with the exit code for wrong usage. */
    public static AgatehatchException wrong(String message) {
        return new AgatehatchException(ErrorCode.INVALID_SETTING, "arguments", "self", Outcome.NOT_RUN, message);
    }

    /** Returns the whole number in a text. */
    public static long number(String name, String text, long min, long max) {
        try {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            // Reported below, as a number outside the bounds is.
        }
        throw wrong(name + " is '" + text + "'; it must be a whole number from " + min + " to " + max);
    }

    /** Returns the decimal number in a text, which must be above 0. */
    public static double positive(String name, String text, double max) {
        try {
            double value = Double.parseDouble(text);
            if (value > 0 && value <= max) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            // Reported below, as a number outside the bounds is.
        }
        throw wrong(name + " is '" + text + "'; it must be a number above 0 and at most " + max);
    }
}
