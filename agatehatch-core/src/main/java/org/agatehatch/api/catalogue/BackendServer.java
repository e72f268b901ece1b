package org.agatehatch.api.catalogue;

/**
 * A backend server: a runner with accelerators, or a server of a plain service.
 *
 * @param address IP address and port, for example {@code 127.0.0.1:9001}
 * @param accelerators number of accelerators; 0 for a plain service
 * @param acceleratorMemoryMib memory of each accelerator
 * @param checksFencing whether the engine refuses orders whose fencing number is below the highest it has accepted
 */
public record BackendServer(
        String name,
        String address,
        String failureDomain,
        String region,
        String pool,
        String owner,
        int accelerators,
        long acceleratorMemoryMib,
        boolean checksFencing) {}
