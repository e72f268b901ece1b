package org.agatehatch.standins.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.standins.http.Connection;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Answers an attempt as a whole when it is finished. */
final class WholeSink implements TokenSink {
    private final InferenceRequest request;
    private final String peer;
    private final String epoch;
    private final Connection connection;
    private final Supplier<EngineFaults> faults;
    private final Function<InferenceRequest, Optional<InferenceRequest>> otherThan;
    private final Executor executor;
    private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    private String version = "";
    private int cachedTokens;

    WholeSink(
            InferenceRequest request,
            String peer,
            String epoch,
            Connection connection,
            Supplier<EngineFaults> faults,
            Function<InferenceRequest, Optional<InferenceRequest>> otherThan,
            Executor executor) {
        this.request = request;
        this.peer = peer;
        this.epoch = epoch;
        this.connection = connection;
        this.faults = faults;
        this.otherThan = otherThan;
        this.executor = executor;
    }

    CompletionStage<HttpResponse> response() {
        return response;
    }

    @Override
    public void admitted(String admittedVersion, int admittedCachedTokens) {
        version = admittedVersion;
        cachedTokens = admittedCachedTokens;
    }

    @Override
    public Delivery deliver(int fromIndex, int toIndex) {
        return Delivery.TAKEN;
    }

    @Override
    public void finish() {
        if (faults.get().lostAnswers().fires()) {
            connection.abort();
            return;
        }
        InferenceRequest answered =
                faults.get().crossedAnswers().fires() ? Crossing.of(request, otherThan.apply(request)) : request;
        complete(Answer.versioned(
                Answer.identified(Answer.whole(answered, cachedTokens), answered.attempt(), epoch), version));
    }

    @Override
    public void cancel(boolean ran) {
        complete(Answer.identified(Answer.cancelled(peer, ran), request.attempt(), epoch));
    }

    private void complete(HttpResponse answer) {
        response.completeAsync(() -> answer, executor);
    }
}
