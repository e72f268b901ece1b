package org.agatehatch.daemon.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;

/** Sends small requests to the platform and to engines and decodes the JSON responses. Every call has a timeout. */
public final class PlatformHttp {
    private static final ObjectMapper JSON = new ObjectMapper()
            .findAndRegisterModules()
            .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final long MAX_RESPONSE_BYTES = 64L << 20;

    /** Interval in which some of a body must arrive, in {@link #callWhileProgressing}. */
    static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(3);

    /** Fewer bytes in an interval count as none, so that a peer can't hold a call for good with single bytes. */
    static final long MIN_PROGRESS_BYTES = 4 << 10;

    private final Http http;
    private final Materializer materializer;
    private final ClassicActorSystemProvider system;
    private final ConnectionPoolSettings poolSettings;

    public PlatformHttp(ClassicActorSystemProvider system) {
        this.system = system;
        this.http = Http.get(system);
        this.poolSettings =
                BackendPools.settings(system.classicSystem().settings().config());
        this.materializer = SystemMaterializer.get(system).materializer();
    }

    /**
     * Sends the request and decodes the JSON response. Fails with the given code on a timeout, a connection error, an
     * error status, or a response that is not the expected JSON.
     */
    public <T> CompletionStage<T> call(
            HttpRequest request, Duration timeout, TypeReference<T> type, ErrorCode code, String step) {
        String peer = request.getUri().host() + ":" + request.getUri().port();
        CompletableFuture<T> answer = http.singleRequest(
                        request,
                        http.defaultClientHttpsContext(),
                        poolSettings,
                        system.classicSystem().log())
                .thenCompose(response -> body(response, timeout, peer, code, step))
                .thenApply(bytes -> decode(bytes, type, code, step, peer))
                .toCompletableFuture()
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        return answer.exceptionallyCompose(
                failure -> CompletableFuture.failedFuture(toAgatehatchException(failure, code, step, peer, timeout)));
    }

    /**
     * Sends the request and decodes the JSON response, for responses whose transfer may take longer than a fixed time. Fails
     * like {@link #call}, where the timeout is that of the response head; while the body arrives, each {@link #PROGRESS_INTERVAL}
     * must bring {@link #MIN_PROGRESS_BYTES}.
     */
    public <T> CompletionStage<T> callWhileProgressing(
            HttpRequest request,
            Duration headTimeout,
            long maxBytes,
            TypeReference<T> type,
            ErrorCode code,
            String step) {
        String peer = request.getUri().host() + ":" + request.getUri().port();
        CompletableFuture<HttpResponse> head = new CompletableFuture<>();
        http.singleRequest(
                        request,
                        http.defaultClientHttpsContext(),
                        poolSettings,
                        system.classicSystem().log())
                .whenComplete((response, failure) -> {
                    if (failure != null) {
                        head.completeExceptionally(failure);
                    } else if (!head.complete(response)) {
                        response.entity().getDataBytes().runWith(Sink.cancelled(), materializer);
                    }
                });
        return head.orTimeout(headTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .thenCompose(response -> progressingBody(response, maxBytes)
                        .thenApply(bytes -> checkStatus(response, bytes, peer, code, step)))
                .thenApply(bytes -> decode(bytes, type, code, step, peer))
                .exceptionallyCompose(failure ->
                        CompletableFuture.failedFuture(toAgatehatchException(failure, code, step, peer, headTimeout)));
    }

    private CompletionStage<ByteString> progressingBody(HttpResponse response, long maxBytes) {
        AtomicLong received = new AtomicLong();
        Pair<UniqueKillSwitch, CompletionStage<ByteString>> reading = response.entity()
                .withSizeLimit(maxBytes)
                .getDataBytes()
                .map(bytes -> {
                    received.addAndGet(bytes.size());
                    return bytes;
                })
                .viaMat(KillSwitches.single(), Keep.right())
                .toMat(Sink.fold(ByteString.emptyByteString(), ByteString::concat), Keep.both())
                .run(materializer);
        checkProgress(reading, received, 0);
        return reading.second();
    }

    private void checkProgress(
            Pair<UniqueKillSwitch, CompletionStage<ByteString>> reading, AtomicLong received, long receivedBefore) {
        system.classicSystem()
                .scheduler()
                .scheduleOnce(
                        PROGRESS_INTERVAL,
                        () -> {
                            long bytes = received.get();
                            if (reading.second().toCompletableFuture().isDone()) {
                                return;
                            }
                            if (bytes - receivedBefore < MIN_PROGRESS_BYTES) {
                                reading.first()
                                        .abort(new IOException("the body stopped arriving after " + bytes + " bytes"));
                                return;
                            }
                            checkProgress(reading, received, bytes);
                        },
                        system.classicSystem().dispatcher());
    }

    /** Encodes a value as JSON with field names in snake case. */
    public static byte[] encode(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot encode " + value.getClass().getName() + " as JSON", e);
        }
    }

    private CompletionStage<byte[]> body(
            HttpResponse response, Duration timeout, String peer, ErrorCode code, String step) {
        return response.entity()
                .withSizeLimit(MAX_RESPONSE_BYTES)
                .toStrict(timeout.toMillis(), materializer)
                .thenApply(strict -> checkStatus(response, strict.getData(), peer, code, step));
    }

    private static byte[] checkStatus(
            HttpResponse response, ByteString body, String peer, ErrorCode code, String step) {
        if (response.status().isFailure()) {
            throw new AgatehatchException(
                    code,
                    step,
                    peer,
                    Outcome.UNKNOWN,
                    "the peer answered " + response.status().intValue() + ": " + body.utf8String());
        }
        return body.toArrayUnsafe();
    }

    private static <T> T decode(byte[] bytes, TypeReference<T> type, ErrorCode code, String step, String peer) {
        try {
            return JSON.readValue(bytes, type);
        } catch (IOException e) {
            throw new AgatehatchException(
                    code, step, peer, Outcome.UNKNOWN, "the peer's answer is not the expected JSON: " + e.getMessage());
        }
    }

    private static AgatehatchException toAgatehatchException(
            Throwable failure, ErrorCode code, String step, String peer, Duration timeout) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        if (cause instanceof AgatehatchException known) {
            return known;
        }
        String text = cause instanceof java.util.concurrent.TimeoutException
                ? "no answer within " + timeout.toMillis() + " ms"
                : String.valueOf(cause.getMessage());
        return new AgatehatchException(code, step, peer, Outcome.UNKNOWN, text, cause);
    }
}
