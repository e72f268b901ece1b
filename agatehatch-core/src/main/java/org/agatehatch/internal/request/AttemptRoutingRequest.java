package org.agatehatch.internal.request;

import java.util.Set;
import org.agatehatch.api.routing.RoutingRequest;

/** A request for a route of one attempt, with what is known of the prompt and of earlier attempts. */
public final class AttemptRoutingRequest {
    private final RoutingRequest request;
    private final long[] promptBlocks;
    private final int promptBytes;
    private final Set<String> tried;

    /**
     * Creates a request.
     *
     * @param promptBlocks chained hashes of the prompt's blocks; must not be changed later
     * @param promptBytes length of the prompt
     * @param tried backend servers of earlier attempts
     */
    public AttemptRoutingRequest(RoutingRequest request, long[] promptBlocks, int promptBytes, Set<String> tried) {
        this.request = request;
        this.promptBlocks = promptBlocks;
        this.promptBytes = promptBytes;
        this.tried = Set.copyOf(tried);
    }

    RoutingRequest request() {
        return request;
    }

    long[] promptBlocks() {
        return promptBlocks;
    }

    int promptBytes() {
        return promptBytes;
    }

    Set<String> tried() {
        return tried;
    }
}
