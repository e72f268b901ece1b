package org.agatehatch.internal.request;

import java.util.Set;
import org.agatehatch.api.routing.RoutingRequest;

/** A routing request for one attempt, with the block hashes of the prompt and the servers of earlier attempts. */
public final class AttemptRoutingRequest {
    private final RoutingRequest request;
    private final long[] promptBlocks;
    private final int promptBytes;
    private final Set<String> tried;

    /**
     * Creates a request.
     *
     * @param promptBlocks chained hashes of the prompt's blocks; not copied, must not be modified
     * @param promptBytes length of the prompt in bytes
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
