package org.agatehatch.api.catalogue;

import java.util.Set;

/**
 * A plain service.
 *
 * @param idempotentMethods HTTP methods, in upper case, whose requests may be retried
 * @param timeoutMillis timeout of one attempt
 */
public record ServiceEntry(
        String name,
        String owner,
        String requestClass,
        String pool,
        Set<String> idempotentMethods,
        long timeoutMillis) {
    public ServiceEntry {
        idempotentMethods = Set.copyOf(idempotentMethods);
    }
}
