package org.agatehatch.daemon.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** Assembles the chunks of a streamed completion into one object, for callers that did not request a stream. */
final class CompletionAssembler {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The limit of a plain service's response; the longest completions are far below it. */
    private static final int MAX_TEXT_CHARS = 8 << 20;

    private final boolean chat;
    private final String requestId;
    private final StringBuilder text = new StringBuilder();
    private String model = "";
    private long createdSeconds;
    private String finishReason = "";
    private JsonNode usage = JSON.nullNode();

    CompletionAssembler(boolean chat, String requestId) {
        this.chat = chat;
        this.requestId = requestId;
    }

    void add(byte[] chunk) {
        JsonNode node;
        try {
            node = JSON.readTree(chunk);
        } catch (IOException e) {
            throw new AgatehatchException(
                    ErrorCode.BAD_FRAME,
                    "read answer",
                    "backend server",
                    Outcome.UNKNOWN,
                    "a chunk of the response is not valid JSON: " + e.getMessage(),
                    e);
        }
        model = node.path("model").asText(model);
        createdSeconds = node.path("created").asLong(createdSeconds);
        JsonNode choice = node.path("choices").path(0);
        text.append(
                chat
                        ? choice.path("delta").path("content").asText("")
                        : choice.path("text").asText(""));
        if (text.length() > MAX_TEXT_CHARS) {
            throw new AgatehatchException(
                    ErrorCode.BACKEND_SERVER_FAILED,
                    "read answer",
                    "backend server",
                    Outcome.UNKNOWN,
                    "the completion exceeds " + MAX_TEXT_CHARS + " characters");
        }
        finishReason = choice.path("finish_reason").asText(finishReason);
        if (node.hasNonNull("usage")) {
            usage = node.get("usage");
        }
    }

    byte[] toJson() {
        ObjectNode root = JSON.createObjectNode();
        root.put("id", requestId)
                .put("object", chat ? "chat.completion" : "text_completion")
                .put("created", createdSeconds)
                .put("model", model);
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        choice.put("finish_reason", finishReason);
        root.set("usage", usage);
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }
}
