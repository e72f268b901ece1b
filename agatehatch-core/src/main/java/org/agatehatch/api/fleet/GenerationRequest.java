package org.agatehatch.api.fleet;

import java.util.List;

/**
 * The generation that a request asks a model for.
 *
 * @param adapter empty if the request needs the base model only
 * @param parts the prompt's parts in order; only this request or its session uses the last one
 */
public record GenerationRequest(
        String model, String adapter, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    public GenerationRequest {
        parts = List.copyOf(parts);
    }

    /** Returns the key within which requests share cached prompt parts: the model, or the model and its adapter. */
    public String cacheScope() {
        return adapter.isEmpty() ? model : model + '/' + adapter;
    }
}
