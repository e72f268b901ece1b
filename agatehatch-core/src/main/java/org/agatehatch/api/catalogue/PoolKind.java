package org.agatehatch.api.catalogue;

/** Type of the backend servers in a pool. */
public enum PoolKind {
    /** Runners with accelerators that run model engines. */
    MODEL,
    /** Plain HTTP services. */
    SERVICE
}
