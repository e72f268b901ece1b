package org.agatehatch.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Checks an answer without stream against the expected text. */
final class WholeCheck {
    private static final ObjectMapper JSON = new ObjectMapper();

    private WholeCheck() {}

    static AnswerResult check(String body, String expected) {
        JsonNode answer;
        try {
            answer = JSON.readTree(body);
        } catch (IOException e) {
            return AnswerResult.corrupt("answer that is no JSON");
        }
        String text =
                answer.path("choices").path(0).path("message").path("content").asText("");
        if (text.equals(expected)) {
            return AnswerResult.ok(0);
        }
        return AnswerResult.corrupt(expected.startsWith(text) ? "cut answer" : "text of another answer");
    }
}
