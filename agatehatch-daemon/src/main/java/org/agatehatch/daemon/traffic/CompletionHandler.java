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

/** Answers requests for models and adapters. */
public final class CompletionHandler {
    private final TrafficParts parts;
    private final BackendChooser chooser;
    private final EngineClient engine;
    private final ClaimGate claims;
    private final RetryBudget budget;
    private final RandomGenerator random;
    private final AnswerResponses responses;

    /** @param random must not repeat after a restart; used by many threads */
    public CompletionHandler(
            TrafficParts parts,
            BackendChooser chooser,
            EngineClient engine,
            ClaimGate claims,
            RetryBudget budget,
            RandomGenerator random,
            Materializer materializer) {
        this.parts = parts;
        this.chooser = chooser;
        this.engine = engine;
        this.claims = claims;
        this.budget = budget;
        this.random = random;
        this.responses = new AnswerResponses(materializer);
    }

    /** Answers one request. Throws for a request that is refused at once. */
    public CompletionStage<HttpResponse> handle(
            String path, byte[] body, Optional<IdempotencyKey> key, long arrivedNanos) {
        CompletionCall call = CompletionCallReader.read(path, body);
        RoutingView view = parts.view().get();
        ModelEntry entry = view.catalogue().models().get(call.model());
        if (entry == null) {
            throw new AgatehatchException(
                    ErrorCode.MODEL_NOT_FOUND,
                    "read request",
                    "self",
                    Outcome.NOT_RUN,
                    "model '" + call.model() + "' is not in catalogue version "
                            + view.catalogue().version() + "; list the models with GET /v1/models");
        }
        RequestClass requestClass = view.catalogue().classes().get(entry.requestClass());
        boolean keyed = !entry.idempotent() && key.isPresent();
        if (keyed) {
            key.get().requireFresh(parts.wallClock().epochMillis());
        }
        ChoiceRequest choice = choice(call, entry, requestClass, body, arrivedNanos);
        RequestSpec spec = new RequestSpec(entry.idempotent(), keyed, true, choice.deadlineMillis());
        Claims ownClaims = keyed
                ? claims.of(
                        ClaimScope.of(entry.owner(), entry.name(), key.get()),
                        choice.fingerprint(),
                        choice.deadlineMillis())
                : ClaimGate.none();
        RequestRun run = new RequestRun(
                choice,
                new RequestStateMachine(spec, budget, random),
                chooser,
                (server, attempt, resumeFrom) -> engine.send(server, call, choice, attempt, resumeFrom),
                engine,
                ownClaims,
                parts.crashes(),
                parts.clock(),
                new RequestLog(choice, parts));
        return run.start()
                .thenCompose(outputs -> call.streaming()
                        ? responses.streamed(outputs, choice.requestId())
                        : responses.whole(outputs, call.chat(), choice.requestId()));
    }

    private ChoiceRequest choice(
            CompletionCall call, ModelEntry entry, RequestClass requestClass, byte[] body, long arrivedNanos) {
        byte[] prompt = call.prompt().getBytes(StandardCharsets.UTF_8);
        int maxTokens = Math.min(call.maxTokens(), entry.maxOutputTokens());
        call.body().remove("max_completion_tokens");
        call.body().put("max_tokens", maxTokens);
        return new ChoiceRequest(
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
                call.promptTokens(),
                (long) call.promptTokens() + maxTokens,
                body.length,
                arrivedNanos,
                arrivedNanos / 1_000_000 + requestClass.wholeAnswerMillis(),
                RequestFingerprint.of(entry.name(), body));
    }
}
