package org.agatehatch.standins.engine;

/** Token counts of an answer, with the field names of the OpenAI format. */
record Usage(int promptTokens, int completionTokens, int totalTokens, Details promptTokensDetails) {
    /** Part of the prompt that was cached. */
    record Details(int cachedTokens) {}

    static Usage of(InferenceRequest request, int cachedTokens) {
        int total = request.promptTokens() + request.maxTokens();
        return new Usage(request.promptTokens(), request.maxTokens(), total, new Details(cachedTokens));
    }
}
