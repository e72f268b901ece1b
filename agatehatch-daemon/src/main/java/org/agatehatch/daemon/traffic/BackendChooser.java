package org.agatehatch.daemon.traffic;

import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.agatehatch.internal.request.AttemptState;

/** Queues a request for admission and chooses its backend server. */
@FunctionalInterface
public interface BackendChooser {
    /**
     * Completes with the chosen backend server. Fails with {@code OVERLOADED}, {@code OWNER_LIMIT_REACHED}
     * or {@code NO_BACKEND_SERVER}.
     *
     * @param tried backend servers at which earlier attempts failed
     * @param attemptState state that decides the race between dispatch, queue timeout and cancellation
     */
    CompletionStage<ChosenBackend> choose(RequestContext request, Set<String> tried, AttemptState attemptState);
}
