package org.agatehatch.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;
import org.agatehatch.standins.http.Call;

/**
 * A request for inference, checked.
 *
 * @param chat whether it came to {@code /v1/chat/completions}
 * @param baseModel model that must be resident if {@code model} is an adapter
 * @param version version that must be resident; empty for the newest
 * @param blocks hashes of the prompt's complete blocks
 * @param firstIndex index of the first token wanted
 * @param seed seed of the answer's text
 */
@SuppressWarnings("ArrayRecordComponent") // Requests are never compared.
record InferenceRequest(
        String attempt,
        boolean chat,
        boolean stream,
        String model,
        Optional<String> baseModel,
        Optional<String> version,
        String prompt,
        long[] blocks,
        int promptTokens,
        int maxTokens,
        int firstIndex,
        int priority,
        long seed) {
    private static final Pattern ATTEMPT = Pattern.compile("[A-Za-z0-9_-]{1,64}");
    private static final int MAX_TOKENS = 65_536;
    private static final int DEFAULT_MAX_TOKENS = 64;
    private static final int MAX_PRIORITY = 100;

    /** Returns the model whose weights must be resident. */
    String residentModel() {
        return baseModel.orElse(model);
    }

    /** Returns the adapter, if the request is for one. */
    Optional<String> adapter() {
        return baseModel.isPresent() ? Optional.of(model) : Optional.empty();
    }

    /** Reads a request; fails with {@code INVALID_REQUEST}. */
    static InferenceRequest parse(Call call, boolean chat) {
        JsonNode body = call.json();
        String model = requireText(body, "model");
        String prompt = chat ? chatPrompt(body) : requireText(body, "prompt");
        byte[] promptBytes = prompt.getBytes(StandardCharsets.UTF_8);
        return new InferenceRequest(
                attempt(call),
                chat,
                body.path("stream").asBoolean(false),
                model,
                call.header("Agatehatch-Base-Model"),
                call.header("Agatehatch-Model-Version"),
                prompt,
                PromptBlocks.hashes(model, promptBytes),
                PromptBlocks.tokens(promptBytes.length),
                maxTokens(body),
                (int) call.longHeader("Agatehatch-Resume-From", 0, 0, MAX_TOKENS),
                (int) call.longHeader("Agatehatch-Priority", 0, 0, MAX_PRIORITY),
                TokenText.seed(model, prompt));
    }

    private static String attempt(Call call) {
        String attempt = call.header("Agatehatch-Attempt")
                .orElseGet(() -> UUID.randomUUID().toString().replace("-", ""));
        if (!ATTEMPT.matcher(attempt).matches()) {
            throw Call.invalid("header Agatehatch-Attempt is '" + attempt
                    + "'; it must be 1 to 64 letters, digits, underscores or hyphens");
        }
        return attempt;
    }

    private static int maxTokens(JsonNode body) {
        JsonNode value =
                body.hasNonNull("max_completion_tokens") ? body.get("max_completion_tokens") : body.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.canConvertToInt() || value.asInt() < 1 || value.asInt() > MAX_TOKENS) {
            throw Call.invalid("max_tokens is " + value + "; it must be a whole number from 1 to " + MAX_TOKENS);
        }
        return value.asInt();
    }

    private static String chatPrompt(JsonNode body) {
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw Call.invalid("field messages is missing or empty; send a list of role and content");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            prompt.append(requireText(message, "role")).append('\n');
            JsonNode content = message.path("content");
            if (content.isArray()) {
                content.forEach(part -> prompt.append(part.path("text").asText("")));
            } else if (content.isTextual()) {
                prompt.append(content.textValue());
            } else {
                throw Call.invalid("content of a message is " + content.getNodeType() + "; send a string or a list");
            }
            prompt.append('\n');
        }
        return prompt.toString();
    }

    private static String requireText(JsonNode object, String field) {
        JsonNode value = object.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw Call.invalid("field " + field + " is missing or no string; send a non-empty string");
        }
        return value.textValue();
    }
}
