package org.agatehatch.api.fleet;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;

/**
 * The platform's group membership service: members renew their membership, and the platform assigns partitions to them. A
 * partition is assigned to one member at a time.
 */
public interface NodeGroup {
    /**
     * The partitions that a member has after a renewal.
     *
     * @param generation increases with each change of the group's members within an era
     * @param era era of the store; see {@link KeyedTopic}
     */
    record Assignment(long generation, Set<String> partitions, long era) {
        public Assignment {
            partitions = Set.copyOf(partitions);
        }
    }

    /** A partition and the member that it is assigned to. */
    record Ownership(String partition, String member) {}

    /**
     * Joins the group or renews the membership.
     *
     * @param generation the generation of the last assignment that the member received; 0 to join
     */
    CompletionStage<Assignment> renew(String member, long generation);

    /** Returns the assigned partitions of all members. */
    CompletionStage<List<Ownership>> owners();

    /** Ends a membership before it expires. */
    CompletionStage<Void> leave(String member);
}
