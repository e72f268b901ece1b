package org.agatehatch.api.routing;

/**
 * The properties of a request that admission control uses.
 *
 * @param entry name of the model, adapter or service in the catalogue
 * @param priority priority of the request's class; higher values go first
 * @param tokens prompt tokens plus expected output tokens; 1 for a plain service
 * @param bytes memory that the queued request takes
 * @param firstTokenDeadlineNanos monotonic time at which the first token is due
 */
public record AdmissionRequest(
        String entry, String owner, int priority, long tokens, long bytes, long firstTokenDeadlineNanos) {}
