package org.agatehatch.internal.process;

import java.util.Optional;

/**
 * A node of the system as it is known in the group.
 *
 * @param host address at which it is reached; ports are the same on all nodes
 * @param incarnation tells this start of the process from earlier ones
 * @param capacityPercent its share of a processor
 */
public record NodeIdentity(String name, String failureDomain, String host, String incarnation, int capacityPercent) {
    private static final String SEPARATOR = "|";
    private static final int FIELD_COUNT = 5;

    /** Returns the member name that carries the identity. */
    public String memberName() {
        return String.join(SEPARATOR, name, failureDomain, host, incarnation, Integer.toString(capacityPercent));
    }

    /** Reads a member name; returns nothing if it is not a node's. */
    public static Optional<NodeIdentity> parse(String memberName) {
        String[] fields = memberName.split("\\|", -1);
        if (fields.length != FIELD_COUNT) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new NodeIdentity(fields[0], fields[1], fields[2], fields[3], Integer.parseInt(fields[4])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
