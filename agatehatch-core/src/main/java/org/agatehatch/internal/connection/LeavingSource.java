package org.agatehatch.internal.connection;

/**
 * Source of the information that a backend server is leaving. The server gets no new work while any source reports it.
 */
public enum LeavingSource {
    /** The platform's list of VMs. */
    VM_LIST,
    /** The server itself, by refusing work. */
    SERVER,
    /** An operator's drain. */
    DRAIN
}
