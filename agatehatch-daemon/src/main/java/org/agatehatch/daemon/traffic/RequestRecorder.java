package org.agatehatch.daemon.traffic;

import java.util.Optional;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.process.AccountCounters;
import org.agatehatch.internal.request.FinalError;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records one request in metrics, accounts, demand and the decision log. */
final class RequestRecorder implements RequestObserver {
    private static final Logger log = LoggerFactory.getLogger("org.agatehatch.decision.request");
    private static final long TOKEN_COUNT_INTERVAL_FRAMES = 64;

    private final RequestContext request;
    private final TrafficDependencies dependencies;
    private long frames;
    private long countedFrames;

    RequestRecorder(RequestContext request, TrafficDependencies dependencies) {
        this.request = request;
        this.dependencies = dependencies;
        dependencies.metrics().addInFlight(1);
        request.residentModel().ifPresent(model -> dependencies.demand().add(model, request.promptTokens()));
    }

    @Override
    public synchronized void onFrame(long index, byte[] data) {
        if (index == 0) {
            dependencies
                    .metrics()
                    .recordFirstToken(
                            request.requestClass().name(), dependencies.clock().nanos() - request.arrivedNanos());
        }
        frames++;
        if (frames - countedFrames >= TOKEN_COUNT_INTERVAL_FRAMES) {
            countTokens();
        }
    }

    @Override
    public void onDispatch(ChosenBackend chosen, String attempt, long resumeFrom) {
        log.info(
                "dispatch request={} attempt={} server={} resume_from={}",
                request.requestId(),
                attempt,
                chosen.server().name(),
                resumeFrom);
    }

    @Override
    public void onAttemptEnd(ChosenBackend chosen, AttemptResult result) {
        // The PoolDispatcher logs the result, and the PoolContext counts it.
    }

    @Override
    public synchronized void onEnd(Optional<FinalError> error) {
        countTokens();
        dependencies.metrics().addInFlight(-1);
        String outcome = error.map(FinalError::outcome).orElse(Outcome.RAN).wireName();
        String code = error.map(end -> end.code().wireName()).orElse("ok");
        dependencies.metrics().countRequest(request.entry(), outcome, code);
        dependencies.accounts().count(request.owner(), new AccountCounters(1, request.promptTokens(), 0, 0, 0));
        log.info(
                "request={} entry={} owner={} outcome={} code={} frames={} millis={}",
                request.requestId(),
                request.entry(),
                request.owner(),
                outcome,
                code,
                frames,
                (dependencies.clock().nanos() - request.arrivedNanos()) / 1_000_000);
    }

    private void countTokens() {
        long tokens = request.forModel() ? frames - countedFrames : 0;
        countedFrames = frames;
        if (tokens == 0) {
            return;
        }
        dependencies.metrics().countOutputTokens(request.owner(), tokens);
        dependencies.usage().recordUsage(request.owner(), 0, tokens);
        dependencies.accounts().count(request.owner(), new AccountCounters(0, 0, tokens, 0, 0));
        request.residentModel().ifPresent(model -> dependencies.demand().add(model, tokens));
    }
}
