package org.agatehatch.daemon.usage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.agatehatch.standins.engine.TokenText;

/** Parses answers and computes the text that the engine stand-ins are expected to generate. */
final class Answers {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Answers() {}

    /** Returns the concatenated text of a streamed answer, ignoring events without text. */
    static String tokens(String events) {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n", -1)) {
            if (line.startsWith("data: {")) {
                JsonNode chunk = json(line.substring("data: ".length()));
                text.append(chunk.path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText(""));
            }
        }
        return text.toString();
    }

    /** Returns the text that every engine generates for a prompt of one user message. */
    static String expected(String model, String content, int tokens) {
        return TokenText.tokens(TokenText.seed(model, "user\n" + content + "\n"), 0, tokens);
    }

    /** Returns the catalogue version in force at node 0. */
    static long version(Deployment deployment) {
        return json(deployment.get(deployment.url(0) + "/admin/v1/status").body())
                .path("catalogue_version")
                .asLong();
    }

    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
