package org.agatehatch.api.catalogue;

import java.util.Optional;

/**
 * A model or adapter.
 *
 * @param base base model of an adapter; empty for a model
 * @param memoryMib memory on each accelerator; for an adapter, memory in addition to its base model
 * @param accelerators accelerators of one runner that a replica spans; 0 for an adapter
 * @param replicas minimum number of replicas, preferably in different failure domains; 0 for an adapter
 * @param maxOutputTokens maximum number of tokens in one answer
 * @param idempotent whether a request may be run again; true for inference without side effects
 */
public record ModelEntry(
        String name,
        Optional<String> base,
        String owner,
        String requestClass,
        String pool,
        String version,
        long memoryMib,
        int accelerators,
        int replicas,
        int maxOutputTokens,
        boolean idempotent) {
    /** Returns whether this entry is an adapter on a base model. */
    public boolean isAdapter() {
        return base.isPresent();
    }

    /** Returns the model whose weights must be resident: the base of an adapter, else this model. */
    public String residentModel() {
        return base.orElse(name);
    }
}
