package org.agatehatch.api.fleet;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;

/**
 * The platform's group membership: members renew their membership, and the platform hands partitions out among them. A
 * partition belongs to one member at a time.
 */
public interface NodeGroup {
    /**
     * A member's standing after a renewal.
     *
     * @param generation rises with each change of the group
     */
    record Assignment(long generation, Set<String> partitions) {
        public Assignment {
            partitions = Set.copyOf(partitions);
        }
    }

    /** A partition and the member that has it. */
    record Ownership(String partition, String member) {}

    /**
     * Joins the group or renews the membership.
     *
     * @param generation the last one received; 0 at first
     */
    CompletionStage<Assignment> renew(String member, long generation);

    /** Returns who has which partition. */
    CompletionStage<List<Ownership>> owners();

    /** Ends a membership. */
    CompletionStage<Void> leave(String member);
}
