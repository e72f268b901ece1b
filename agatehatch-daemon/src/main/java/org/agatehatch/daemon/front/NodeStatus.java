package org.agatehatch.daemon.front;

/** Reports whether the node serves callers. Implementations are thread-safe. */
public interface NodeStatus {
    /** Returns whether the node accepts requests. A leaving node still does. */
    boolean serving();

    /** Returns whether the node is shutting down and accepts no more requests. */
    boolean stopping();

    /** Returns what a node that is not ready waits for, otherwise its state. */
    String reason();
}
