package org.agatehatch.gateway.request;

import java.util.concurrent.CompletionStage;
import org.agatehatch.internal.request.RequestPacer;

/** Asks for permits to send requests to backend servers that name a limit. */
@FunctionalInterface
public interface PermitRequester {
    /**
     * Asks for a permit for one request. Completes on the traffic thread and never exceptionally.
     *
     * @param process the server's id and start time
     * @param limitPerSecond the limit that the server has named
     * @param maxDelayMillis longest time that the request can wait until it is sent
     */
    CompletionStage<RequestPacer.Permit> request(String process, double limitPerSecond, long maxDelayMillis);
}
