package org.agatehatch.internal.request;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.routing.AdmissionRequest;

/**
 * A request offered to an {@link AdmissionQueue}, with the callbacks that end its wait.
 *
 * @param queueDeadlineNanos monotonic time at which the request stops waiting
 * @param tryCommit commits the queued attempt to dispatch; returns false if it was already cancelled or timed out.
 *     Called under the queue's lock, so it must not block
 * @param refuse called when the request leaves the queue without having run. The implementation checks with its own
 *     compare-and-set whether a cancellation came first. Called without the lock
 */
public record QueuedRequest(
        AdmissionRequest request,
        long queueDeadlineNanos,
        BooleanSupplier tryCommit,
        Consumer<AgatehatchException> refuse) {}
