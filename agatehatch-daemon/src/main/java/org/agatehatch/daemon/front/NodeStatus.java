package org.agatehatch.daemon.front;

/** Whether the node serves callers. May be asked by any thread. */
public interface NodeStatus {
    /** Returns whether requests are taken. A leaving node still takes them. */
    boolean serving();

    /** Returns whether the node stops and takes no more requests. */
    boolean stopping();

    /** Returns what the node waits for, or its state. */
    String reason();
}
