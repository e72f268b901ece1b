package org.agatehatch.standins.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.Outcome;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** Builds answers as {@code docs/platform-protocols.md} describes them. */
public final class Responses {
    private Responses() {}

    /** Returns 200 with a value as JSON. */
    public static HttpResponse ok(Object value) {
        return json(200, value);
    }

    /** Returns a status with a value as JSON. */
    public static HttpResponse json(int status, Object value) {
        return HttpResponse.create()
                .withStatus(status)
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, Json.bytes(value)));
    }

    /** Returns an error; {@code not_run} is also said in the header that proves it. */
    public static HttpResponse error(
            int status, String code, String step, String peer, Outcome outcome, String message) {
        ObjectNode error = Json.object();
        error.put("message", message);
        error.put("type", "platform_error");
        error.put("code", code);
        error.put("step", step);
        error.put("peer", peer);
        error.put("outcome", outcome.wireName());
        HttpResponse response = json(status, Map.of("error", error));
        if (status == 429) {
            response = response.addHeader(RawHeader.create("Retry-After", "1"));
        }
        return outcome == Outcome.NOT_RUN ? withOutcome(response, outcome) : response;
    }

    /** Returns a refusal that proves that the request did not run. */
    public static HttpResponse refusal(int status, String code, String step, String peer, String message) {
        return error(status, code.toLowerCase(Locale.ROOT), step, peer, Outcome.NOT_RUN, message);
    }

    /** Adds the header that states the outcome. */
    public static HttpResponse withOutcome(HttpResponse response, Outcome outcome) {
        return response.addHeader(RawHeader.create(Outcome.HEADER, outcome.wireName()));
    }

    /** Returns the answer to an unknown path or method. */
    public static HttpResponse notFound(Call call, String peer) {
        return refusal(
                404, "not_found", "route", peer, call.target() + " is not served here; see docs/platform-protocols.md");
    }

    /** Returns a completed stage. */
    public static CompletionStage<HttpResponse> now(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    /** Returns a stage that never completes, for a request whose connection was cut. */
    public static CompletionStage<HttpResponse> never() {
        return new CompletableFuture<>();
    }
}
