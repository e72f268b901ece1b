package org.agatehatch.daemon.traffic;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
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

/** Answers calls of plain services. */
public final class ServiceHandler {
    private static final Set<String> CONNECTION_HEADERS = Set.of(
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
    private static final int MAX_ANSWER_BYTES = 8 << 20;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    private final TrafficParts parts;
    private final BackendChooser chooser;
    private final EngineClient client;
    private final ClaimGate claims;
    private final RetryBudget budget;
    private final RandomGenerator random;
    private final Materializer materializer;
    private final AnswerResponses responses;

    /** @param random must not repeat after a restart; used by many threads */
    public ServiceHandler(
            TrafficParts parts,
            BackendChooser chooser,
            EngineClient client,
            ClaimGate claims,
            RetryBudget budget,
            RandomGenerator random,
            Materializer materializer) {
        this.parts = parts;
        this.chooser = chooser;
        this.client = client;
        this.claims = claims;
        this.budget = budget;
        this.random = random;
        this.materializer = materializer;
        this.responses = new AnswerResponses(materializer);
    }

    /**
     * Answers one call. Throws for a call that is refused at once.
     *
     * @param path path and query at the service, with a leading slash
     */
    public CompletionStage<HttpResponse> handle(
            String service,
            String path,
            HttpRequest received,
            byte[] body,
            Optional<IdempotencyKey> key,
            long arrivedNanos) {
        RoutingView view = parts.view().get();
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
        String method = received.method().value();
        boolean idempotent = entry.idempotentMethods().contains(method);
        boolean keyed = !idempotent && key.isPresent();
        RequestClass requestClass = view.catalogue().classes().get(entry.requestClass());
        if (keyed) {
            key.get().requireFresh(parts.wallClock().epochMillis());
        }
        ChoiceRequest choice = choice(entry, requestClass, method + " " + path, body, arrivedNanos);
        RequestSpec spec = new RequestSpec(idempotent, keyed, false, choice.deadlineMillis());
        Claims ownClaims = keyed
                ? claims.of(
                        ClaimScope.of(entry.owner(), entry.name(), key.get()),
                        choice.fingerprint(),
                        choice.deadlineMillis())
                : ClaimGate.none();
        AtomicReference<List<HttpHeader>> headers = new AtomicReference<>(List.of());
        RequestRun run = new RequestRun(
                choice,
                new RequestStateMachine(spec, budget, random),
                chooser,
                (server, attempt, resumeFrom) -> send(server, attempt, path, received, body, entry, headers),
                client,
                ownClaims,
                parts.crashes(),
                parts.clock(),
                new RequestLog(choice, parts));
        return run.start().thenCompose(outputs -> responses.relayed(outputs, headers::get, choice.requestId()));
    }

    private CompletionStage<Answer> send(
            BackendServer server,
            String attempt,
            String path,
            HttpRequest received,
            byte[] body,
            ServiceEntry entry,
            AtomicReference<List<HttpHeader>> headers) {
        HttpRequest request = HttpRequest.create("http://" + server.address() + path)
                .withMethod(received.method())
                .withHeaders(endToEnd(received.getHeaders()))
                .addHeader(RawHeader.create("Agatehatch-Attempt", attempt))
                .withEntity(received.entity().getContentType(), body);
        return client.exchange(server, request)
                .thenCompose(response -> response.entity()
                        .withSizeLimit(MAX_ANSWER_BYTES)
                        .toStrict(entry.timeoutMillis(), materializer)
                        .thenApply(strict -> {
                            headers.set(endToEnd(response.getHeaders()));
                            return answer(
                                    server, attempt, response, strict.getData().toArray());
                        }));
    }

    private static Answer answer(BackendServer server, String attempt, HttpResponse response, byte[] body) {
        int status = response.status().intValue();
        boolean notRun = response.getHeader(Outcome.HEADER)
                .map(HttpHeader::value)
                .filter(Outcome.NOT_RUN.wireName()::equals)
                .isPresent();
        if (notRun && (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS)) {
            throw new AgatehatchException(
                    ErrorCode.BACKEND_SERVER_FAILED,
                    "dispatch",
                    server.name(),
                    Outcome.NOT_RUN,
                    "the backend server answered " + status + " and declared that it did not run the call");
        }
        String contentType = response.entity().getContentType().toString();
        return new Answer(status, contentType, "", Source.single(new AnswerFrame(attempt, 0, body, true)));
    }

    private ChoiceRequest choice(
            ServiceEntry entry, RequestClass requestClass, String call, byte[] body, long arrivedNanos) {
        return new ChoiceRequest(
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
                RequestFingerprint.of(entry.name() + " " + call, body));
    }

    private static List<HttpHeader> endToEnd(Iterable<HttpHeader> headers) {
        return StreamSupport.stream(headers.spliterator(), false)
                .filter(header ->
                        !CONNECTION_HEADERS.contains(header.lowercaseName().toLowerCase(Locale.ROOT)))
                .map(header -> (HttpHeader) RawHeader.create(header.name(), header.value()))
                .toList();
    }
}
