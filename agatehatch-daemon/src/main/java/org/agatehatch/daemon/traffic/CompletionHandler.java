package org.agatehatch.daemon.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.RequestClass;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.internal.request.AttemptId;
import org.agatehatch.internal.request.ClaimScope;
import org.agatehatch.internal.request.IdempotencyKey;
import org.agatehatch.internal.request.RequestFingerprint;
import org.agatehatch.internal.request.RequestSpec;
import org.agatehatch.internal.request.RequestStateMachine;
import org.agatehatch.internal.request.RetryBudget;
import org.agatehatch.internal.version.RoutingView;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;

/** Handles completion requests for models and adapters. */
public final class CompletionHandler {
    private final TrafficDependencies dependencies;
    private final BackendChooser chooser;
    private final EngineClient engine;
    private final IdempotencyClaimsFactory claims;
    private final RetryBudget budget;
    private final RandomGenerator random;
    private final CallerResponses responses;

    /** @param random thread-safe source of ids, which must not repeat its sequence after a restart */
    public CompletionHandler(
            TrafficDependencies dependencies,
            BackendChooser chooser,
            EngineClient engine,
            IdempotencyClaimsFactory claims,
            RetryBudget budget,
            RandomGenerator random,
            Materializer materializer) {
        this.dependencies = dependencies;
        this.chooser = chooser;
        this.engine = engine;
        this.claims = claims;
        this.budget = budget;
        this.random = random;
        this.responses = new CallerResponses(materializer);
    }

    /** Handles one request. Throws if the request is rejected before it is queued. */
    public CompletionStage<HttpResponse> handle(
            String path, byte[] body, Optional<IdempotencyKey> key, long arrivedNanos, CallerPresence caller) {
        CompletionRequest completion = CompletionRequestReader.read(path, body);
        RoutingView view = dependencies.view().get();
        ModelEntry entry = view.catalogue().models().get(completion.model());
        if (entry == null) {
            throw new AgatehatchException(
                    ErrorCode.MODEL_NOT_FOUND,
                    "read request",
                    "self",
                    Outcome.NOT_RUN,
                    "model '" + completion.model() + "' is not in catalogue version "
                            + view.catalogue().version() + "; list the models with GET /v1/models");
        }
        RequestClass requestClass = view.catalogue().classes().get(entry.requestClass());
        boolean keyed = !entry.idempotent() && key.isPresent();
        if (keyed) {
            key.get().requireFresh(dependencies.wallClock().epochMillis());
        }
        RequestContext context = requestContext(completion, entry, requestClass, body, arrivedNanos);
        RequestSpec spec = new RequestSpec(entry.idempotent(), keyed, true, context.deadlineMillis());
        IdempotencyClaims requestClaims = keyed
                ? claims.forRequest(
                        ClaimScope.of(entry.owner(), entry.name(), key.get()),
                        context.fingerprint(),
                        context.deadlineMillis())
                : IdempotencyClaimsFactory.none();
        RequestExecution execution = new RequestExecution(
                context,
                new RequestStateMachine(spec, budget, random),
                chooser,
                (server, attempt, resumeFrom) -> engine.send(server, completion, context, attempt, resumeFrom),
                engine,
                requestClaims,
                dependencies.crashDetector(),
                dependencies.clock(),
                new RequestRecorder(context, dependencies));
        caller.whenLeft(execution::onCallerLeft);
        return execution
                .start()
                .thenCompose(outputs -> completion.streaming()
                        ? responses.streamed(outputs, context.requestId())
                        : responses.whole(outputs, completion.chat(), context.requestId()));
    }

    private RequestContext requestContext(
            CompletionRequest completion, ModelEntry entry, RequestClass requestClass, byte[] body, long arrivedNanos) {
        byte[] prompt = completion.prompt().getBytes(StandardCharsets.UTF_8);
        int maxTokens = Math.min(completion.maxTokens(), entry.maxOutputTokens());
        completion.body().remove("max_completion_tokens");
        completion.body().put("max_tokens", maxTokens);
        return new RequestContext(
                "req-" + AttemptId.random(random),
                true,
                entry.name(),
                entry.pool(),
                Optional.of(entry.residentModel()),
                entry.base().map(ignored -> entry.name()),
                entry.owner(),
                requestClass,
                PromptBlocks.hashes(prompt),
                prompt.length,
                completion.promptTokens(),
                (long) completion.promptTokens() + maxTokens,
                body.length,
                arrivedNanos,
                arrivedNanos / 1_000_000 + requestClass.wholeAnswerMillis(),
                RequestFingerprint.of(entry.name(), body));
    }
}
