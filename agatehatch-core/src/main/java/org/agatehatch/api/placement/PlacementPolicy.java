package org.agatehatch.api.placement;

import java.util.List;

/**
 * Proposes placement changes for one pool. Implementations are pure functions of their input, so that a planning round
 * can be replayed.
 */
@FunctionalInterface
public interface PlacementPolicy {
    /** Returns the proposed changes in the order in which they should be executed. */
    List<PlacementChange> plan(PlacementInput input);
}
