package org.agatehatch.api.catalogue;

/**
 * A class of requests with its priority and latency targets.
 *
 * @param priority 0 to 100; requests with higher values are served first
 * @param firstTokenMillis target for the time to the first token, or to the first byte of a plain service
 * @param betweenTokensMillis target for the time between two tokens
 * @param wholeAnswerMillis target for the whole answer; also the request's deadline
 */
public record RequestClass(
        String name, int priority, long firstTokenMillis, long betweenTokensMillis, long wholeAnswerMillis) {}
