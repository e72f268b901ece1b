package org.agatehatch.daemon.traffic;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** Reads request bodies of {@code /v1/chat/completions} and {@code /v1/completions}. */
public final class CompletionRequestReader {
    /** Path of chat completions. */
    public static final String CHAT_PATH = "/v1/chat/completions";
    /** Path of text completions. */
    public static final String TEXT_PATH = "/v1/completions";

    private static final int MAX_NESTING = 64;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final ObjectMapper JSON = new ObjectMapper(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_NESTING)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private CompletionRequestReader() {}

    /** Parses a body. Throws {@code INVALID_REQUEST} that names an invalid field, its value and the allowed values. */
    public static CompletionRequest read(String path, byte[] bytes) {
        ObjectNode body = parse(bytes);
        boolean chat = path.equals(CHAT_PATH);
        String model = requiredText(body, "model");
        boolean streaming = optionalBoolean(body, "stream");
        requireSingleChoice(body);
        String prompt = chat ? chatPrompt(body) : textPrompt(body);
        int maxTokens = maxTokens(body);
        body.put("stream", true);
        return new CompletionRequest(path, model, body, streaming, chat, prompt, maxTokens);
    }

    private static ObjectNode parse(byte[] bytes) {
        try {
            JsonNode node = JSON.readTree(bytes);
            if (node instanceof ObjectNode object) {
                return object;
            }
            throw invalid("the body must be a JSON object");
        } catch (IOException e) {
            throw invalid("the body is not valid JSON: " + firstLine(e.getMessage()));
        }
    }

    private static String chatPrompt(ObjectNode body) {
        JsonNode messages = body.get("messages");
        if (messages == null || !messages.isArray() || messages.isEmpty()) {
            throw invalid("'messages' must be a non-empty array");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.isObject() || !message.path("role").isTextual()) {
                throw invalid("each element of 'messages' must be an object with a string 'role'");
            }
            prompt.append(message.path("role").textValue()).append('\n');
            appendContent(prompt, message.path("content"));
            prompt.append('\n');
        }
        return prompt.toString();
    }

    private static void appendContent(StringBuilder prompt, JsonNode content) {
        if (content.isTextual()) {
            prompt.append(content.textValue());
            return;
        }
        for (JsonNode part : content) {
            prompt.append(part.path("text").asText(""));
        }
    }

    private static String textPrompt(ObjectNode body) {
        JsonNode prompt = body.get("prompt");
        if (prompt == null || !prompt.isTextual()) {
            throw invalid("'prompt' must be a string");
        }
        return prompt.textValue();
    }

    private static int maxTokens(ObjectNode body) {
        JsonNode value = body.has("max_completion_tokens") ? body.get("max_completion_tokens") : body.get("max_tokens");
        if (value == null || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.canConvertToInt() || value.intValue() < 1) {
            throw invalid("'max_tokens' must be an integer of at least 1, got " + value);
        }
        return value.intValue();
    }

    private static void requireSingleChoice(ObjectNode body) {
        JsonNode choices = body.get("n");
        if (choices != null && !choices.isNull() && choices.asInt(0) != 1) {
            throw invalid("'n' must be 1, got " + choices + "; send a separate request for each choice");
        }
    }

    private static String requiredText(ObjectNode body, String field) {
        JsonNode value = body.get(field);
        if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
            throw invalid("'" + field + "' must be a non-empty string");
        }
        return value.textValue();
    }

    private static boolean optionalBoolean(ObjectNode body, String field) {
        JsonNode value = body.get(field);
        if (value == null || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw invalid("'" + field + "' must be true or false, got " + value);
        }
        return value.booleanValue();
    }

    private static String firstLine(String text) {
        return text == null ? "no details" : text.lines().findFirst().orElse("no details");
    }

    private static AgatehatchException invalid(String message) {
        return new AgatehatchException(ErrorCode.INVALID_REQUEST, "read request", "caller", Outcome.NOT_RUN, message);
    }
}
