package org.agatehatch.daemon.traffic;

import java.util.Optional;
import org.agatehatch.api.catalogue.RequestClass;

/**
 * What the choice of a backend server rests on.
 *
 * @param forModel whether the entry is a model or adapter; false for a plain service
 * @param residentModel model whose weights must be ready; empty for a plain service
 * @param adapter adapter that is asked for; empty if none
 * @param promptBlocks hashes of the prompt's blocks; not to be modified
 * @param promptBytes length of the prompt; 0 for a plain service
 * @param expectedTokens prompt tokens and most output tokens; 1 for a plain service
 * @param bodyBytes memory that the request takes while it waits
 * @param arrivedNanos monotonic time of the request's arrival
 * @param deadlineMillis monotonic time by which the whole answer is promised
 * @param fingerprint hash of the entry and the body
 */
@SuppressWarnings("ArrayRecordComponent") // Hashed once for each request and never compared.
public record RequestContext(
        String requestId,
        boolean forModel,
        String entry,
        String pool,
        Optional<String> residentModel,
        Optional<String> adapter,
        String owner,
        RequestClass requestClass,
        long[] promptBlocks,
        int promptBytes,
        int promptTokens,
        long expectedTokens,
        int bodyBytes,
        long arrivedNanos,
        long deadlineMillis,
        long fingerprint) {
    /** Returns the monotonic time by which the first token is promised. */
    public long firstTokenDeadlineNanos() {
        return arrivedNanos + requestClass.firstTokenMillis() * 1_000_000;
    }
}
