package org.agatehatch.daemon.traffic;

import java.util.Optional;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.process.AccountCounters;
import org.agatehatch.internal.request.FinalError;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts one request for metrics, accounts and the log. */
final class RequestLog implements RunObserver {
    private static final Logger log = LoggerFactory.getLogger("org.agatehatch.decision.request");
    private static final long COUNT_EVERY_FRAMES = 64;

    private final ChoiceRequest request;
    private final TrafficParts parts;
    private long frames;
    private long countedFrames;

    RequestLog(ChoiceRequest request, TrafficParts parts) {
        this.request = request;
        this.parts = parts;
        parts.metrics().inFlight(1);
        request.residentModel().ifPresent(model -> parts.demand().add(model, request.promptTokens()));
    }

    @Override
    public synchronized void onFrame(long index, byte[] data) {
        if (index == 0) {
            parts.metrics()
                    .firstToken(request.requestClass().name(), parts.clock().nanos() - request.arrivedNanos());
        }
        frames++;
        if (frames - countedFrames >= COUNT_EVERY_FRAMES) {
            countTokens();
        }
    }

    @Override
    public void onDispatch(Chosen chosen, String attempt, long resumeFrom) {
        log.info(
                "dispatch request={} attempt={} server={} resume_from={}",
                request.requestId(),
                attempt,
                chosen.server().name(),
                resumeFrom);
    }

    @Override
    public void onAttemptEnd(Chosen chosen, AttemptResult result) {
        // The queue's observer logs and counts the result.
    }

    @Override
    public synchronized void onEnd(Optional<FinalError> error) {
        countTokens();
        parts.metrics().inFlight(-1);
        String outcome = error.map(FinalError::outcome).orElse(Outcome.RAN).wireName();
        String code = error.map(end -> end.code().wireName()).orElse("ok");
        parts.metrics().request(request.entry(), outcome, code);
        parts.accounts().count(request.owner(), new AccountCounters(1, request.promptTokens(), 0, 0, 0));
        log.info(
                "request={} entry={} owner={} outcome={} code={} frames={} millis={}",
                request.requestId(),
                request.entry(),
                request.owner(),
                outcome,
                code,
                frames,
                (parts.clock().nanos() - request.arrivedNanos()) / 1_000_000);
    }

    private void countTokens() {
        long tokens = request.model() ? frames - countedFrames : 0;
        countedFrames = frames;
        if (tokens == 0) {
            return;
        }
        parts.metrics().tokens(request.owner(), tokens);
        parts.usage().recordUsage(request.owner(), 0, tokens);
        parts.accounts().count(request.owner(), new AccountCounters(0, 0, tokens, 0, 0));
        request.residentModel().ifPresent(model -> parts.demand().add(model, tokens));
    }
}
