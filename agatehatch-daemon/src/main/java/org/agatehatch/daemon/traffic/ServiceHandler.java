package org.agatehatch.daemon.traffic;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import java.util.stream.StreamSupport;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.RequestClass;
import org.agatehatch.api.catalogue.ServiceEntry;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.AttemptId;
import org.agatehatch.internal.request.ClaimScope;
import org.agatehatch.internal.request.IdempotencyKey;
import org.agatehatch.internal.request.RequestFingerprint;
import org.agatehatch.internal.request.RequestSpec;
import org.agatehatch.internal.request.RequestStateMachine;
import org.agatehatch.internal.request.RetryBudget;
import org.agatehatch.internal.version.RoutingView;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Source;

/** Handles calls to plain services. */
public final class ServiceHandler {
    private static final Set<String> HEADERS_NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "content-type",
            "server",
            "date",
            "timeout-access",
            "raw-request-uri",
            "agatehatch-outcome");
    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    private final TrafficDependencies dependencies;
    private final BackendChooser chooser;
    private final EngineClient client;
    private final IdempotencyClaimsFactory claims;
    private final RetryBudget budget;
    private final RandomGenerator random;
    private final Materializer materializer;
    private final CallerResponses responses;

    /** @param random thread-safe source of ids, which must not repeat its sequence after a restart */
    public ServiceHandler(
            TrafficDependencies dependencies,
            BackendChooser chooser,
            EngineClient client,
            IdempotencyClaimsFactory claims,
            RetryBudget budget,
            RandomGenerator random,
            Materializer materializer) {
        this.dependencies = dependencies;
        this.chooser = chooser;
        this.client = client;
        this.claims = claims;
        this.budget = budget;
        this.random = random;
        this.materializer = materializer;
        this.responses = new CallerResponses(materializer);
    }

    /**
     * Handles one call. Throws if the call is rejected before it is queued.
     *
     * @param path path and query at the service, with a leading slash
     */
    public CompletionStage<HttpResponse> handle(
            String service,
            String path,
            HttpRequest callerRequest,
            byte[] body,
            Optional<IdempotencyKey> key,
            long arrivedNanos,
            CallerPresence caller) {
        RoutingView view = dependencies.view().get();
        ServiceEntry entry = view.catalogue().services().get(service);
        if (entry == null) {
            throw new AgatehatchException(
                    ErrorCode.SERVICE_NOT_FOUND,
                    "read request",
                    "self",
                    Outcome.NOT_RUN,
                    "service '" + service + "' is not in catalogue version "
                            + view.catalogue().version());
        }
        String method = callerRequest.method().value();
        boolean idempotent = entry.idempotentMethods().contains(method);
        boolean keyed = !idempotent && key.isPresent();
        RequestClass requestClass = view.catalogue().classes().get(entry.requestClass());
        if (keyed) {
            key.get().requireFresh(dependencies.wallClock().epochMillis());
        }
        RequestContext context = requestContext(entry, requestClass, method + " " + path, body, arrivedNanos);
        RequestSpec spec = new RequestSpec(idempotent, keyed, false, context.deadlineMillis());
        IdempotencyClaims requestClaims = keyed
                ? claims.forRequest(
                        ClaimScope.of(entry.owner(), entry.name(), key.get()),
                        context.fingerprint(),
                        context.deadlineMillis())
                : IdempotencyClaimsFactory.none();
        AtomicReference<List<HttpHeader>> headers = new AtomicReference<>(List.of());
        RequestExecution execution = new RequestExecution(
                context,
                new RequestStateMachine(spec, budget, random),
                chooser,
                (server, attempt, resumeFrom) -> send(server, attempt, path, callerRequest, body, entry, headers),
                client,
                requestClaims,
                dependencies.crashDetector(),
                dependencies.clock(),
                new RequestRecorder(context, dependencies));
        caller.whenLeft(execution::onCallerLeft);
        return execution.start().thenCompose(outputs -> responses.buffered(outputs, headers::get, context.requestId()));
    }

    private CompletionStage<AttemptResponse> send(
            BackendServer server,
            String attempt,
            String path,
            HttpRequest callerRequest,
            byte[] body,
            ServiceEntry entry,
            AtomicReference<List<HttpHeader>> headers) {
        HttpRequest request = HttpRequest.create("http://" + server.address() + path)
                .withMethod(callerRequest.method())
                .withHeaders(forwardableHeaders(callerRequest.getHeaders()))
                .addHeader(RawHeader.create("Agatehatch-Attempt", attempt))
                .withEntity(callerRequest.entity().getContentType(), body);
        return client.exchange(server, request).thenCompose(response -> {
            if (isRefusal(response)) {
                return refused(server, response);
            }
            boolean endsWithConnection = response.entity().isCloseDelimited();
            return response.entity()
                    .withSizeLimit(MAX_RESPONSE_BYTES)
                    .toStrict(entry.timeoutMillis(), materializer)
                    .thenCompose(strict -> endsWithConnection
                            ? client.requireListening(server).thenApply(ignored -> strict)
                            : CompletableFuture.completedFuture(strict))
                    .thenApply(strict -> {
                        headers.set(forwardableHeaders(response.getHeaders()));
                        return toAttemptResponse(
                                attempt, response, strict.getData().toArray());
                    });
        });
    }

    private static boolean isRefusal(HttpResponse response) {
        int status = response.status().intValue();
        boolean notRun = response.getHeader(Outcome.HEADER)
                .map(HttpHeader::value)
                .filter(Outcome.NOT_RUN.wireName()::equals)
                .isPresent();
        return notRun && (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS);
    }

    private CompletionStage<AttemptResponse> refused(BackendServer server, HttpResponse response) {
        return client.refusalBody(response).thenApply(ignored -> {
            throw new AgatehatchException(
                    ErrorCode.BACKEND_SERVER_FAILED,
                    "dispatch",
                    server.name(),
                    Outcome.NOT_RUN,
                    "the backend server responded with status "
                            + response.status().intValue() + " and declared that it did not run the call");
        });
    }

    private static AttemptResponse toAttemptResponse(String attempt, HttpResponse response, byte[] body) {
        int status = response.status().intValue();
        String contentType = response.entity().getContentType().toString();
        return new AttemptResponse(status, contentType, "", Source.single(new ResponseFrame(attempt, 0, body, true)));
    }

    private RequestContext requestContext(
            ServiceEntry entry, RequestClass requestClass, String methodAndPath, byte[] body, long arrivedNanos) {
        return new RequestContext(
                "req-" + AttemptId.random(random),
                false,
                entry.name(),
                entry.pool(),
                Optional.empty(),
                Optional.empty(),
                entry.owner(),
                requestClass,
                new long[0],
                0,
                0,
                1,
                body.length,
                arrivedNanos,
                arrivedNanos / 1_000_000 + Math.min(requestClass.wholeAnswerMillis(), entry.timeoutMillis()),
                RequestFingerprint.of(entry.name() + " " + methodAndPath, body));
    }

    private static List<HttpHeader> forwardableHeaders(Iterable<HttpHeader> headers) {
        return StreamSupport.stream(headers.spliterator(), false)
                .filter(header ->
                        !HEADERS_NOT_FORWARDED.contains(header.lowercaseName().toLowerCase(Locale.ROOT)))
                .map(header -> (HttpHeader) RawHeader.create(header.name(), header.value()))
                .toList();
    }
}
