package org.agatehatch.daemon.front;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Counts requests until the last byte of their response is handed to the connection. The graceful termination of the
 * HTTP library treats a streamed response as complete once its head is sent, and would truncate the rest.
 */
public final class InFlightRequests {
    private static final long POLL_MILLIS = 20;

    private final AtomicInteger count = new AtomicInteger();

    /**
     * Handles a request and counts it until its response, which may be streamed, is complete. Counts it before it is
     * handled, so that a stop waits for a request that was admitted just before.
     */
    CompletionStage<HttpResponse> track(Supplier<CompletionStage<HttpResponse>> handler) {
        count.incrementAndGet();
        CompletionStage<HttpResponse> response;
        try {
            response = handler.get();
        } catch (RuntimeException e) {
            count.decrementAndGet();
            throw e;
        }
        return response.handle((completed, failure) -> {
                    if (failure != null || !completed.entity().isChunked()) {
                        count.decrementAndGet();
                        return failure == null ? response : CompletableFuture.<HttpResponse>failedFuture(failure);
                    }
                    Source<ByteString, Object> bytes = completed
                            .entity()
                            .getDataBytes()
                            .watchTermination((ignored, done) -> {
                                done.whenComplete((finished, cut) -> count.decrementAndGet());
                                return ignored;
                            });
                    ResponseEntity entity =
                            HttpEntities.createChunked(completed.entity().getContentType(), bytes);
                    return CompletableFuture.completedFuture(completed.withEntity(entity));
                })
                .thenCompose(stage -> stage);
    }

    public int count() {
        return count.get();
    }

    /** Completes when no request is in flight, or after about {@code limitMillis}. */
    public CompletionStage<Void> whenDrained(long limitMillis) {
        if (count.get() == 0 || limitMillis <= 0) {
            return CompletableFuture.completedFuture(null);
        }
        return new CompletableFuture<Void>()
                .completeOnTimeout(null, POLL_MILLIS, TimeUnit.MILLISECONDS)
                .thenCompose(ignored -> whenDrained(limitMillis - POLL_MILLIS));
    }
}
