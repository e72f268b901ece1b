package org.agatehatch.daemon.traffic;

import com.typesafe.config.Config;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.daemon.platform.BackendPools;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.model.sse.ServerSentEvent;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.http.javadsl.unmarshalling.sse.EventStreamUnmarshalling;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.StreamTcpException;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/** Sends attempts to model engines and plain services. Each call is one attempt; this class never retries. */
public final class EngineClient {
    /** Error step of an attempt for which no connection could be opened. */
    static final String CONNECT_STEP = "connect";
    /** Error step of an attempt that a leaving backend server refused. */
    static final String LEAVING_STEP = "dispatch to leaving server";

    /** Error step of an attempt that a runner refused because the model is not resident there. */
    static final String NOT_RESIDENT_STEP = "dispatch to runner without the model";

    private static final String EPOCH_HEADER = "Agatehatch-Runner-Epoch";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String DISPATCH_STEP = "dispatch";
    private static final long REFUSAL_BODY_TIMEOUT_MILLIS = 2_000;
    /** Refusals are short JSON objects; a larger body is not worth reading. */
    static final long MAX_REFUSAL_BODY_BYTES = 64 << 10;

    /** A server that lives accepts a connection within some milliseconds. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(1_000);

    private static final String CONNECT_FAILED_PREFIX = "Tcp command [Connect";

    private final ClassicActorSystemProvider system;
    private final Http http;
    private final Materializer materializer;
    private final ConnectionPoolSettings poolSettings;

    public EngineClient(ClassicActorSystemProvider system, Config config) {
        this.system = system;
        this.http = Http.get(system);
        this.materializer = SystemMaterializer.get(system).materializer();
        this.poolSettings = BackendPools.settings(
                config.withFallback(system.classicSystem().settings().config()));
    }

    /**
     * Sends one attempt of a completion request to a model engine.
     *
     * <p>Fails with outcome {@code NOT_RUN} only if the attempt is known not to have run: the connection could not be
     * opened, the queue of the connection pool was full, or the engine declared that it refused the request.
     */
    public CompletionStage<AttemptResponse> send(
            BackendServer runner,
            CompletionRequest completion,
            RequestContext context,
            String attempt,
            long resumeFrom) {
        HttpRequest baseRequest = HttpRequest.POST("http://" + runner.address() + completion.path())
                .addHeader(RawHeader.create("Agatehatch-Attempt", attempt))
                .addHeader(RawHeader.create(
                        "Agatehatch-Priority",
                        Integer.toString(context.requestClass().priority())))
                .addHeader(RawHeader.create("Agatehatch-Resume-From", Long.toString(resumeFrom)))
                .withEntity(
                        ContentTypes.APPLICATION_JSON,
                        completion.body().toString().getBytes(StandardCharsets.UTF_8));
        HttpRequest request = context.adapter().isEmpty()
                ? baseRequest
                : baseRequest.addHeader(RawHeader.create(
                        "Agatehatch-Base-Model", context.residentModel().orElse("")));
        return exchange(runner, request).thenCompose(response -> {
            String epoch =
                    response.getHeader(EPOCH_HEADER).map(HttpHeader::value).orElse("");
            if (response.status().isFailure()) {
                return failedWithRefusal(runner, response);
            }
            return EventStreamUnmarshalling.fromEventsStream(system.classicSystem())
                    .unmarshal(response.entity().withoutSizeLimit(), materializer)
                    .thenApply(events -> new AttemptResponse(
                            response.status().intValue(),
                            EVENT_STREAM,
                            epoch,
                            events.map(event -> frame(event, runner, context.requestId()))
                                    .mapMaterializedValue(ignored -> NotUsed.getInstance())));
        });
    }

    /** Sends a request to a backend server. A failure has the same outcomes as one of {@link #send}. */
    public CompletionStage<HttpResponse> exchange(BackendServer server, HttpRequest request) {
        return http.singleRequest(
                        request,
                        http.defaultClientHttpsContext(),
                        poolSettings,
                        system.classicSystem().log())
                .exceptionallyCompose(
                        failure -> CompletableFuture.failedFuture(toAgatehatchException(server, failure)));
    }

    /**
     * Opens a connection to a backend server whose response ended with its connection, and closes it. Fails if the server
     * accepts none: a process that dies closes its connections as one does that has finished its response.
     */
    CompletionStage<Void> requireListening(BackendServer server) {
        int colon = server.address().lastIndexOf(':');
        CompletableFuture<Optional<ByteString>> untilClosed = new CompletableFuture<>();
        return Source.<ByteString>maybe()
                .mapMaterializedValue(input -> {
                    untilClosed.thenAccept(input::complete);
                    return NotUsed.getInstance();
                })
                .viaMat(
                        Tcp.get(system)
                                .outgoingConnection(
                                        InetSocketAddress.createUnresolved(
                                                server.address().substring(0, colon),
                                                Integer.parseInt(
                                                        server.address().substring(colon + 1))),
                                        Optional.empty(),
                                        List.of(),
                                        false,
                                        Optional.of(PROBE_TIMEOUT),
                                        Optional.empty()),
                        Keep.right())
                .to(Sink.ignore())
                .run(materializer)
                .handle((connection, failure) -> {
                    untilClosed.complete(Optional.empty());
                    if (failure == null) {
                        return null;
                    }
                    throw new AgatehatchException(
                            ErrorCode.BACKEND_SERVER_FAILED,
                            DISPATCH_STEP,
                            server.name(),
                            Outcome.UNKNOWN,
                            "the response of " + server.address()
                                    + " ended with its connection and may be incomplete, as the"
                                    + " server accepts no connection since: " + failure.getMessage(),
                            failure);
                });
    }

    /** Asks the engine to cancel an attempt. Best effort: a failure is ignored. */
    public void cancel(BackendServer runner, String attempt) {
        exchange(runner, HttpRequest.DELETE("http://" + runner.address() + "/v1/attempts/" + attempt))
                .thenCompose(this::refusalBody)
                .exceptionally(ignored -> "");
    }

    private <T> CompletionStage<T> failedWithRefusal(BackendServer server, HttpResponse response) {
        boolean notRun = response.getHeader(Outcome.HEADER)
                .map(HttpHeader::value)
                .filter(Outcome.NOT_RUN.wireName()::equals)
                .isPresent();
        int status = response.status().intValue();
        return refusalBody(response).thenApply(body -> {
            throw new AgatehatchException(
                    ErrorCode.BACKEND_SERVER_FAILED,
                    notRun ? refusalStep(body) : DISPATCH_STEP,
                    server.name(),
                    notRun ? Outcome.NOT_RUN : Outcome.RAN,
                    "the backend server responded with status " + status + ": " + body);
        });
    }

    /**
     * Reads the body of a response that is no answer. Completes with an empty text if the body is too large or too slow,
     * because the head alone says whether the attempt ran.
     */
    CompletionStage<String> refusalBody(HttpResponse response) {
        return response.entity()
                .withSizeLimit(MAX_REFUSAL_BODY_BYTES)
                .toStrict(REFUSAL_BODY_TIMEOUT_MILLIS, materializer)
                .handle((strict, failure) -> failure == null ? strict.getData().utf8String() : "");
    }

    private static String refusalStep(String body) {
        if (body.contains("\"code\":\"leaving\"")) {
            return LEAVING_STEP;
        }
        return body.contains("\"code\":\"model_not_resident\"") ? NOT_RESIDENT_STEP : DISPATCH_STEP;
    }

    /** Replaces the attempt id in the payload by the request id, so that a resumed response has a single id. */
    private static ResponseFrame frame(ServerSentEvent event, BackendServer runner, String requestId) {
        String id = event.getId().orElse("");
        int colon = id.lastIndexOf(':');
        if (colon <= 0) {
            throw malformedEventId(runner, id);
        }
        try {
            String data = event.getData();
            String attempt = id.substring(0, colon);
            return new ResponseFrame(
                    attempt,
                    Long.parseLong(id.substring(colon + 1)),
                    data.replace(attempt, requestId).getBytes(StandardCharsets.UTF_8),
                    data.equals(ResponseFrame.DONE));
        } catch (NumberFormatException e) {
            throw malformedEventId(runner, id);
        }
    }

    private static AgatehatchException malformedEventId(BackendServer runner, String id) {
        return new AgatehatchException(
                ErrorCode.BAD_FRAME,
                "read answer",
                runner.name(),
                Outcome.UNKNOWN,
                "the event id '" + id + "' does not have the form <attempt>:<index>");
    }

    private static AgatehatchException toAgatehatchException(BackendServer server, Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        if (failure instanceof StreamTcpException) {
            cause = failure;
        }
        boolean neverConnected = cause instanceof StreamTcpException
                && String.valueOf(cause.getMessage()).startsWith(CONNECT_FAILED_PREFIX);
        boolean poolQueueFull = cause instanceof org.apache.pekko.stream.BufferOverflowException;
        return new AgatehatchException(
                ErrorCode.BACKEND_SERVER_FAILED,
                neverConnected ? CONNECT_STEP : DISPATCH_STEP,
                server.name(),
                neverConnected || poolQueueFull ? Outcome.NOT_RUN : Outcome.UNKNOWN,
                "no response from " + server.address() + ": " + cause.getMessage(),
                cause);
    }
}
