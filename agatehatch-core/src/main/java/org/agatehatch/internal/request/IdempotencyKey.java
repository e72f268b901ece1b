package org.agatehatch.internal.request;

import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * An idempotency key from the request header {@code Idempotency-Key}.
 *
 * @param value the key without quotes and escapes
 */
public record IdempotencyKey(String value) {
    /** Age at which a key with a timestamp is rejected, and after which a request with an opaque key may run again. */
    public static final long WINDOW_MILLIS = 3_600_000;

    /** Maximum by which a key's timestamp may be ahead of this node's wall clock. */
    public static final long MAX_AHEAD_MILLIS = 300_000;

    private static final int MAX_LENGTH = 255;
    private static final Pattern BARE_TOKEN = Pattern.compile("[A-Za-z0-9!#$%&'*+\\-.^_`|~:/]+");
    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

    /**
     * Parses a header value: a structured-field string (RFC 8941) or a bare token.
     *
     * @throws AgatehatchException with {@link ErrorCode#IDEMPOTENCY_KEY_INVALID} if the value is malformed
     */
    public static IdempotencyKey parse(String header) {
        String text = header.strip();
        String value = text.startsWith("\"") ? unquote(text) : text;
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw invalid("the key has " + value.length() + " characters; allowed are 1 to " + MAX_LENGTH);
        }
        if (!text.startsWith("\"") && !BARE_TOKEN.matcher(value).matches()) {
            throw invalid(
                    "the unquoted key contains characters that a token may not have; enclose it in double quotes");
        }
        return new IdempotencyKey(value);
    }

    private static String unquote(String text) {
        StringBuilder value = new StringBuilder();
        int i = 1;
        while (i < text.length() && text.charAt(i) != '"') {
            char c = text.charAt(i);
            if (c == '\\') {
                i++;
                c = i < text.length() ? text.charAt(i) : 0;
                if (c != '"' && c != '\\') {
                    throw invalid(
                            "a backslash may only precede a double quote or a backslash; escape it as two backslashes");
                }
            }
            if (c < 0x20 || c > 0x7e) {
                throw invalid("the key contains a character outside printable ASCII; use letters and digits");
            }
            value.append(c);
            i++;
        }
        if (i != text.length() - 1) {
            throw invalid("the header does not end with the closing double quote of the key; send one quoted string");
        }
        return value.toString();
    }

    /** Returns the timestamp of a UUIDv7 key in milliseconds since the epoch; empty for an opaque key. */
    public OptionalLong timestampMillis() {
        if (!UUID_V7.matcher(value).matches()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(value.substring(0, 8) + value.substring(9, 13), 16));
    }

    /**
     * Checks that the timestamp of the key, if any, is within the accepted window around this node's wall clock.
     *
     * @throws AgatehatchException with {@link ErrorCode#IDEMPOTENCY_KEY_EXPIRED} and outcome {@link Outcome#UNKNOWN},
     *     since an earlier request with this key may have run within the window, and this node's wall clock may be
     *     wrong
     */
    public void requireFresh(long wallEpochMillis) {
        OptionalLong timestamp = timestampMillis();
        if (timestamp.isEmpty()) {
            return;
        }
        long ageMillis = wallEpochMillis - timestamp.getAsLong();
        if (ageMillis > WINDOW_MILLIS || ageMillis < -MAX_AHEAD_MILLIS) {
            throw new AgatehatchException(
                    ErrorCode.IDEMPOTENCY_KEY_EXPIRED,
                    "claim",
                    "self",
                    Outcome.UNKNOWN,
                    "the key's timestamp is " + ageMillis / 1000 + " s before this node's clock; allowed are at most "
                            + WINDOW_MILLIS / 1000 + " s before or " + MAX_AHEAD_MILLIS / 1000
                            + " s after it; check whether an earlier request with this key ran, then use a new key");
        }
    }

    private static AgatehatchException invalid(String message) {
        return new AgatehatchException(
                ErrorCode.IDEMPOTENCY_KEY_INVALID, "claim", "self", Outcome.NOT_RUN, "Idempotency-Key: " + message);
    }
}
