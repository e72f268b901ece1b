package org.agatehatch.internal.process;

import java.util.List;

/**
 * The nodes of the system as this node last read them from the group.
 *
 * @param nodes one entry per node, including this node
 * @param generation generation of the group; increases with each change
 */
public record NodeView(List<NodeIdentity> nodes, long generation) {
    /** The view before the group was read. */
    public static final NodeView EMPTY = new NodeView(List.of(), 0);

    public NodeView {
        nodes = List.copyOf(nodes);
    }
}
