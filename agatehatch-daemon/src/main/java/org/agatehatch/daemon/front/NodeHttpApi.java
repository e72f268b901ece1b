package org.agatehatch.daemon.front;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.daemon.metrics.NodeMetrics;
import org.agatehatch.daemon.traffic.CallerPresence;
import org.agatehatch.daemon.traffic.CompletionHandler;
import org.agatehatch.daemon.traffic.CompletionRequestReader;
import org.agatehatch.daemon.traffic.ErrorResponses;
import org.agatehatch.daemon.traffic.Failures;
import org.agatehatch.daemon.traffic.ServiceHandler;
import org.agatehatch.internal.request.IdempotencyKey;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpCharsets;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Routes HTTP requests of callers and operators to their handlers by path. */
public final class NodeHttpApi {
    private static final Logger log = LoggerFactory.getLogger(NodeHttpApi.class);
    private static final long BODY_TIMEOUT_MILLIS = 10_000;
    private static final String SERVICES_PREFIX = "/services/";
    private static final String ADMIN_PREFIX = "/admin/v1/";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final NodeStatus status;
    private final InFlightRequests inFlight;
    private final CompletionHandler completions;
    private final ServiceHandler services;
    private final ModelList models;
    private final EntryNodes entryNodes;
    private final OperatorApi operators;
    private final NodeMetrics metrics;
    private final MonotonicClock clock;
    private final int maxBodyBytes;
    private final Materializer materializer;

    public NodeHttpApi(
            NodeStatus status,
            InFlightRequests inFlight,
            CompletionHandler completions,
            ServiceHandler services,
            ModelList models,
            EntryNodes entryNodes,
            OperatorApi operators,
            NodeMetrics metrics,
            MonotonicClock clock,
            int maxBodyBytes,
            Materializer materializer) {
        this.status = status;
        this.inFlight = inFlight;
        this.completions = completions;
        this.services = services;
        this.models = models;
        this.entryNodes = entryNodes;
        this.operators = operators;
        this.metrics = metrics;
        this.clock = clock;
        this.maxBodyBytes = maxBodyBytes;
        this.materializer = materializer;
    }

    /** Returns the handling of the requests of a connection, one after the other. */
    public Flow<HttpRequest, HttpResponse, NotUsed> connection() {
        return CallerConnectionFlow.of(this::handle);
    }

    /** Handles one request. The stage never fails: failures become error responses. */
    private CompletionStage<HttpResponse> handle(HttpRequest request, CallerPresence caller) {
        long arrivedNanos = clock.nanos();
        try {
            return inFlight.track(() ->
                    dispatch(request, arrivedNanos, caller).exceptionally(failure -> errorResponse(request, failure)));
        } catch (RuntimeException e) {
            request.discardEntityBytes(materializer);
            return CompletableFuture.completedFuture(errorResponse(request, e));
        }
    }

    private CompletionStage<HttpResponse> dispatch(HttpRequest request, long arrivedNanos, CallerPresence caller) {
        String path = request.getUri().path();
        if (path.equals(CompletionRequestReader.CHAT_PATH) || path.equals(CompletionRequestReader.TEXT_PATH)) {
            requireServing();
            requirePost(request);
            Optional<IdempotencyKey> key = idempotencyKey(request);
            return readBody(request).thenCompose(body -> completions.handle(path, body, key, arrivedNanos, caller));
        }
        if (path.startsWith(SERVICES_PREFIX)) {
            requireServing();
            return callService(request, path, arrivedNanos, caller);
        }
        if (path.startsWith(ADMIN_PREFIX)) {
            return readBody(request)
                    .thenCompose(body -> operators.handle(request, path.substring(ADMIN_PREFIX.length()), body));
        }
        request.discardEntityBytes(materializer);
        return CompletableFuture.completedFuture(localResponse(request, path));
    }

    private HttpResponse localResponse(HttpRequest request, String path) {
        return switch (path) {
            case "/v1/models" -> {
                requireServing();
                yield json(models.json());
            }
            case "/v1/entry-nodes" ->
                json(entryNodes.json(request.getUri().query().get("failure_domain")));
            case "/healthz" -> text(200, "ok");
            case "/readyz" -> text(status.serving() ? 200 : 503, status.reason());
            case "/metrics" ->
                HttpResponse.create()
                        .withEntity(MediaTypes.TEXT_PLAIN.toContentType(HttpCharsets.UTF_8), metrics.render());
            default ->
                throw new AgatehatchException(
                        ErrorCode.INVALID_REQUEST,
                        "read request",
                        "self",
                        Outcome.NOT_RUN,
                        "unknown path '" + path + "'; docs/api.md lists the paths");
        };
    }

    private CompletionStage<HttpResponse> callService(
            HttpRequest request, String path, long arrivedNanos, CallerPresence caller) {
        String rest = path.substring(SERVICES_PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String servicePath = slash < 0 ? "/" : rest.substring(slash);
        String query = request.getUri().rawQueryString().map(text -> "?" + text).orElse("");
        Optional<IdempotencyKey> key = idempotencyKey(request);
        return readBody(request)
                .thenCompose(
                        body -> services.handle(name, servicePath + query, request, body, key, arrivedNanos, caller));
    }

    private CompletionStage<byte[]> readBody(HttpRequest request) {
        return request.entity()
                .withSizeLimit(maxBodyBytes)
                .toStrict(BODY_TIMEOUT_MILLIS, materializer)
                .thenApply(strict -> strict.getData().toArray());
    }

    private static Optional<IdempotencyKey> idempotencyKey(HttpRequest request) {
        return request.getHeader("Idempotency-Key").map(HttpHeader::value).map(IdempotencyKey::parse);
    }

    private void requireServing() {
        if (status.stopping()) {
            throw new AgatehatchException(
                    ErrorCode.NODE_LEAVING,
                    "admit",
                    "self",
                    Outcome.NOT_RUN,
                    "this node is shutting down; get other entry nodes with GET /v1/entry-nodes from another node");
        }
        if (!status.serving()) {
            throw new AgatehatchException(
                            ErrorCode.NODE_STARTING,
                            "admit",
                            "self",
                            Outcome.NOT_RUN,
                            "this node is not ready yet (" + status.reason() + "); use another entry node")
                    .withRetryAfterMillis(MILLIS_PER_SECOND);
        }
    }

    private static void requirePost(HttpRequest request) {
        if (!request.method().equals(HttpMethods.POST)) {
            throw new AgatehatchException(
                    ErrorCode.INVALID_REQUEST,
                    "read request",
                    "caller",
                    Outcome.NOT_RUN,
                    "this path accepts only the method POST");
        }
    }

    private static HttpResponse errorResponse(HttpRequest request, Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        AgatehatchException error =
                bodyReadError(cause).orElseGet(() -> Failures.toAgatehatchException(cause, "answer"));
        if (error.code() == ErrorCode.INTERNAL) {
            log.error(
                    "request {} {} failed",
                    request.method().value(),
                    request.getUri().path(),
                    cause);
        }
        long retryAfterMillis = error.retryAfterMillis();
        OptionalLong seconds = retryAfterMillis > 0
                ? OptionalLong.of((retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
                : OptionalLong.empty();
        return ErrorResponses.of(error, seconds);
    }

    private static Optional<AgatehatchException> bodyReadError(Throwable cause) {
        if (cause instanceof EntityStreamSizeException) {
            return Optional.of(new AgatehatchException(
                    ErrorCode.REQUEST_TOO_LARGE,
                    "read request",
                    "caller",
                    Outcome.NOT_RUN,
                    "the request body exceeds the limit set with --max-body-bytes"));
        }
        if (cause instanceof TimeoutException) {
            return Optional.of(new AgatehatchException(
                    ErrorCode.INVALID_REQUEST,
                    "read request",
                    "caller",
                    Outcome.NOT_RUN,
                    "the request body was not complete within " + BODY_TIMEOUT_MILLIS + " ms"));
        }
        return Optional.empty();
    }

    private static HttpResponse json(String body) {
        return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, body);
    }

    private static HttpResponse text(int status, String body) {
        return HttpResponse.create().withStatus(status).withEntity(body + "\n");
    }
}
