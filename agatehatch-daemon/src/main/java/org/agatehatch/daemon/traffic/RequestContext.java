package org.agatehatch.daemon.traffic;

import java.util.Optional;
import org.agatehatch.api.catalogue.RequestClass;

/**
 * Properties of a request that admission, routing and the choice of a backend server use.
 *
 * @param forModel true if the entry is a model or adapter, false if it is a plain service
 * @param residentModel model whose weights must be resident at the runner; empty for a plain service
 * @param adapter requested adapter; empty if none
 * @param promptBlocks hashes of the prompt's blocks; must not be modified
 * @param promptBytes length of the prompt in bytes; 0 for a plain service
 * @param expectedTokens prompt tokens plus the maximum of output tokens; 1 for a plain service
 * @param bodyBytes size of the request body, which stays in memory while the request is queued
 * @param arrivedNanos arrival of the request on the monotonic clock
 * @param deadlineMillis deadline for the whole response on the monotonic clock
 * @param fingerprint hash of the entry and the body
 */
@SuppressWarnings("ArrayRecordComponent") // Prompt blocks are hashed once per request and never compared.
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
    /** Returns the deadline for the first token on the monotonic clock. */
    public long firstTokenDeadlineNanos() {
        return arrivedNanos + requestClass.firstTokenMillis() * 1_000_000;
    }
}
