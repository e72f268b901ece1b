package org.agatehatch.daemon.traffic;

import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.agatehatch.internal.request.AttemptState;

/** Waits for the request's turn and chooses a backend server. */
@FunctionalInterface
public interface BackendChooser {
    /**
     * Returns the choice. Fails with {@code OVERLOADED}, {@code OWNER_LIMIT_REACHED} or {@code NO_BACKEND_SERVER}.
     *
     * @param tried backend servers at which earlier attempts failed
     * @param attemptState state on which dispatch, queue timeout and cancel race
     */
    CompletionStage<ChosenBackend> choose(RequestContext request, Set<String> tried, AttemptState attemptState);
}
