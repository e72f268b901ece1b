package org.agatehatch.api.placement;

import java.util.List;

/**
 * One change that a placement policy proposes.
 *
 * @param accelerators indexes of the accelerators on the runner; empty for a role change
 * @param reason short text for the decision log, with the figures that led to the change
 */
public record PlacementChange(Kind kind, String model, String runner, List<Integer> accelerators, String reason) {
    public PlacementChange {
        accelerators = List.copyOf(accelerators);
    }

    /** Type of a placement change. */
    public enum Kind {
        LOAD,
        UNLOAD,
        RESERVE,
        CANCEL_RESERVE,
        ROLE_BOTH,
        ROLE_PROMPT,
        ROLE_ANSWER
    }
}
