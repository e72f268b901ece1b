package org.agatehatch.standins;

import java.util.List;

/**
 * Where the stand-ins of a {@link Platform} listen.
 *
 * @param log base address, for example {@code http://127.0.0.1:9000}
 * @param vmList base address
 * @param weightStore base address
 */
public record PlatformAddresses(
        String log, String vmList, String weightStore, List<Server> engines, List<Server> services) {
    public PlatformAddresses {
        engines = List.copyOf(engines);
        services = List.copyOf(services);
    }

    /**
     * One backend server.
     *
     * @param service name of the plain service; empty for an engine
     * @param address host and port
     */
    public record Server(String name, String service, String address, String failureDomain) {}
}
