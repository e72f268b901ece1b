package org.agatehatch.standins.weights;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.standins.http.Json;

/** Loads weights with {@code POST /loads}. */
public final class HttpWeightLoader implements WeightLoader {
    private static final int OK = 200;

    private final HttpClient client;
    private final URI loads;

    public HttpWeightLoader(HttpClient client, String storeBaseUri) {
        this.client = client;
        this.loads = URI.create(storeBaseUri + "/loads");
    }

    @Override
    public CompletionStage<Void> load(LoadRequest request) {
        HttpRequest http = HttpRequest.newBuilder(loads)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(request)))
                .build();
        return client.sendAsync(http, HttpResponse.BodyHandlers.ofString()).thenCompose(this::check);
    }

    private CompletionStage<Void> check(HttpResponse<String> response) {
        if (response.statusCode() == OK) {
            return CompletableFuture.completedFuture(null);
        }
        return CompletableFuture.failedFuture(new AgatehatchException(
                ErrorCode.BACKEND_SERVER_FAILED,
                "load",
                loads.getAuthority(),
                Outcome.UNKNOWN,
                "the weight store answered " + response.statusCode() + ": " + response.body()
                        + "; order the load again later"));
    }
}
