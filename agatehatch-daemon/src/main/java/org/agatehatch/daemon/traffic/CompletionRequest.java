package org.agatehatch.daemon.traffic;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A parsed completion request of a caller.
 *
 * @param path path at the engine, for example {@code /v1/chat/completions}
 * @param body body to send to the engine; always requests a stream
 * @param streaming whether the caller requested a stream
 * @param chat true for a chat completion, false for a text completion
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
