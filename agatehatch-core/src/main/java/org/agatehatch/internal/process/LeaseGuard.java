package org.agatehatch.internal.process;

import java.util.OptionalLong;

/** Checks whether this node holds a pool's placement lease at the moment of the call. */
@FunctionalInterface
public interface LeaseGuard {
    /** Returns the lease's fencing number, or empty if this node does not hold the lease or its term has expired. */
    OptionalLong heldFencingNumber();
}
