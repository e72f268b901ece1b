package org.agatehatch.daemon.traffic;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A parsed request of a caller for a model's answer.
 *
 * @param path path at the engine, for example {@code /v1/chat/completions}
 * @param body body for the engine; always asks for a stream
 * @param streaming whether the caller wants a stream
 * @param chat whether the answer has messages rather than text
 * @param prompt text of the prompt in the order in which the engine reads it
 */
public record CompletionRequest(
        String path, String model, ObjectNode body, boolean streaming, boolean chat, String prompt, int maxTokens) {
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Returns an estimate of the prompt's length in tokens. */
    public int promptTokens() {
        return prompt.length() / CHARACTERS_PER_TOKEN + 1;
    }
}
