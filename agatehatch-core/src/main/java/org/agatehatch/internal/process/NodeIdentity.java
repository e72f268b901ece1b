package org.agatehatch.internal.process;

import java.util.Optional;

/**
 * Identity of a node in the platform's group.
 *
 * @param host address of the node; the ports are the same on all nodes
 * @param incarnation identity of the node's process; changes with each restart
 * @param capacityPercent the node's share of a processor
 */
public record NodeIdentity(String name, String failureDomain, String host, String incarnation, int capacityPercent) {
    private static final String SEPARATOR = "|";
    private static final int FIELD_COUNT = 5;

    /** Returns the member name, which encodes all fields of the identity. */
    public String memberName() {
        return String.join(SEPARATOR, name, failureDomain, host, incarnation, Integer.toString(capacityPercent));
    }

    /** Parses a member name; returns empty if it is not the member name of a node. */
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
