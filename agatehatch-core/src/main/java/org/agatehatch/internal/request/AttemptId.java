package org.agatehatch.internal.request;

import java.util.random.RandomGenerator;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** Random 128-bit identifier of one attempt, written as 32 hexadecimal digits. */
public record AttemptId(long high, long low) {
    private static final int LONG_DIGITS = 16;

    /** Generates an identifier. The generator must not repeat its sequence after a restart. */
    public static AttemptId random(RandomGenerator random) {
        return new AttemptId(random.nextLong(), random.nextLong());
    }

    /**
     * Parses 32 hexadecimal digits.
     *
     * @throws AgatehatchException with {@link ErrorCode#BAD_FRAME} on any other text
     */
    public static AttemptId parse(String text) {
        if (text.length() != 2 * LONG_DIGITS || !text.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new AgatehatchException(
                    ErrorCode.BAD_FRAME,
                    "stream",
                    "self",
                    Outcome.UNKNOWN,
                    "invalid attempt id in frame: expected 32 hexadecimal digits, got " + text.length()
                            + " characters; check the backend server's stream protocol");
        }
        return new AttemptId(
                Long.parseUnsignedLong(text, 0, LONG_DIGITS, 16),
                Long.parseUnsignedLong(text, LONG_DIGITS, 2 * LONG_DIGITS, 16));
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
