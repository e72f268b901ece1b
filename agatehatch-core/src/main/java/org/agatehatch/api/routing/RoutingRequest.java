package org.agatehatch.api.routing;

import java.util.Optional;

/**
 * The properties of a request that routing uses.
 *
 * @param adapter adapter that must be resident; empty for a base model or plain service
 * @param promptTokens estimated prompt length
 * @param prefixHash hash of the prompt's leading blocks, see {@link PromptBlocks#prefixHash}; 0 if it is short
 * @param firstTokenDeadlineNanos monotonic time at which the first token is due
 */
public record RoutingRequest(
        String entry,
        Optional<String> adapter,
        String owner,
        int priority,
        int promptTokens,
        long prefixHash,
        long firstTokenDeadlineNanos) {}
