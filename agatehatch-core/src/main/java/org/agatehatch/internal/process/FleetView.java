package org.agatehatch.internal.process;

import java.util.List;
import java.util.Map;
import org.agatehatch.api.fleet.ServerEntry;

/**
 * An immutable snapshot of the backend servers that accept requests, which excludes draining ones.
 *
 * @param byService the servers by service name; contains only services with at least one server
 */
public record FleetView(Map<String, List<ServerEntry>> byService) {
    /** The view before any backend server is known. */
    public static final FleetView EMPTY = new FleetView(Map.of());

    public FleetView {
        byService = Map.copyOf(byService);
    }

    /** Returns the servers of a service. */
    public List<ServerEntry> servers(String service) {
        return byService.getOrDefault(service, List.of());
    }
}
