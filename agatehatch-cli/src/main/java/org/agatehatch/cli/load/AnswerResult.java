package org.agatehatch.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * What became of one request.
 *
 * @param code error code, or why the answer is corrupt; empty if the answer is right
 * @param outcome what the answer said about the outcome; empty if nothing
 * @param firstTokenNanos time of the first token; 0 if unknown
 */
record AnswerResult(Kind kind, String code, String outcome, long firstTokenNanos) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Whether the answer was right, marked as an error, or wrong without a mark. */
    enum Kind {
        OK,
        ERROR,
        CORRUPT
    }

    static AnswerResult ok(long firstTokenNanos) {
        return new AnswerResult(Kind.OK, "", "", firstTokenNanos);
    }

    static AnswerResult error(String code, String outcome) {
        return new AnswerResult(Kind.ERROR, code, outcome, 0);
    }

    static AnswerResult corrupt(String reason) {
        return new AnswerResult(Kind.CORRUPT, reason, "", 0);
    }

    /** Reads the body of an error; {@code fallbackCode} stands for a body of another kind. */
    static AnswerResult errorOf(String body, String fallbackCode, String fallbackOutcome) {
        try {
            JsonNode error = JSON.readTree(body).path("error");
            return error(
                    error.path("code").asText(fallbackCode),
                    error.path("outcome").asText(fallbackOutcome));
        } catch (IOException e) {
            return error(fallbackCode, fallbackOutcome);
        }
    }
}
