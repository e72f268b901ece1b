package org.agatehatch.standins.engine;

import java.util.List;
import java.util.Map;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.standins.http.Responses;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** Builds the engine's answers to inference requests, apart from streams. */
final class Answer {
    private Answer() {}

    /** Returns a whole answer as an OpenAI object. */
    static HttpResponse whole(InferenceRequest request, int cachedTokens) {
        String text = TokenText.tokens(request.seed(), request.firstIndex(), request.maxTokens());
        Map<String, Object> choice = request.chat()
                ? Map.of("index", 0, "message", Map.of("role", "assistant", "content", text), "finish_reason", "length")
                : Map.of("index", 0, "text", text, "finish_reason", "length");
        return Responses.ok(Map.of(
                "id", request.attempt(),
                "object", request.chat() ? "chat.completion" : "text_completion",
                "created", 0,
                "model", request.model(),
                "choices", List.of(choice),
                "usage", Usage.of(request, cachedTokens)));
    }

    /** Returns the answer to an attempt that was cancelled. */
    static HttpResponse cancelled(String peer, boolean ran) {
        String code = ran ? "cancelled" : "cancelled_before_start";
        return Responses.error(
                409,
                code,
                "run",
                peer,
                ran ? Outcome.UNKNOWN : Outcome.NOT_RUN,
                "the attempt was cancelled with DELETE /v1/attempts; send a new one");
    }

    /** Adds the headers that say who answers. */
    static HttpResponse identified(HttpResponse response, String attempt, String epoch) {
        return response.addHeader(RawHeader.create("Agatehatch-Attempt", attempt))
                .addHeader(RawHeader.create("Agatehatch-Runner-Epoch", epoch));
    }

    /** Adds the header with the version that ran. */
    static HttpResponse versioned(HttpResponse response, String version) {
        return response.addHeader(RawHeader.create("Agatehatch-Model-Version", version));
    }
}
