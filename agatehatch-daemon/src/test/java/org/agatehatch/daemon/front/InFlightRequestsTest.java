package org.agatehatch.daemon.front;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.testng.annotations.Test;

public class InFlightRequestsTest {
    private static final long LIMIT_MILLIS = 60_000;

    /** Guards against a stop that ends the connection of a request that was admitted just before the stop. */
    @Test
    public void a_stop_waits_for_a_request_that_is_still_being_admitted() {
        InFlightRequests inFlight = new InFlightRequests();
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        AtomicReference<CompletionStage<Void>> drained = new AtomicReference<>();

        inFlight.track(() -> {
            drained.set(inFlight.whenDrained(LIMIT_MILLIS));
            return answer;
        });
        assertFalse(drained.get().toCompletableFuture().isDone());
        answer.complete(HttpResponse.create());

        drained.get().toCompletableFuture().join();
        assertEquals(inFlight.count(), 0);
    }

    /** Guards against a stop that waits for a request that was refused. */
    @Test
    public void a_request_whose_handler_throws_is_not_counted() {
        InFlightRequests inFlight = new InFlightRequests();

        assertThrows(
                IllegalStateException.class,
                () -> inFlight.track(() -> {
                    throw new IllegalStateException("refused");
                }));

        assertEquals(inFlight.count(), 0);
    }
}
