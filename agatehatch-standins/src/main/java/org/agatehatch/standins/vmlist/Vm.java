package org.agatehatch.standins.vmlist;

import java.util.Set;

/**
 * One virtual machine of the list.
 *
 * @param address host and port
 * @param kind {@code node} or {@code backend_server}
 * @param state {@code live} or {@code leaving}
 */
public record Vm(String name, String address, String kind, String failureDomain, String state) {
    private static final Set<String> KINDS = Set.of("node", "backend_server");
    private static final Set<String> STATES = Set.of("live", "leaving");

    public Vm {
        requireText("name", name);
        requireText("address", address);
        requireText("failure_domain", failureDomain);
        requireOneOf("kind", kind, KINDS);
        requireOneOf("state", state, STATES);
    }

    /** Returns a live backend server. */
    public static Vm liveBackendServer(String name, String address, String failureDomain) {
        return new Vm(name, address, "backend_server", failureDomain, "live");
    }

    /** Returns a live node. */
    public static Vm liveNode(String name, String address, String failureDomain) {
        return new Vm(name, address, "node", failureDomain, "live");
    }

    /** Returns this VM as leaving. */
    public Vm leaving() {
        return new Vm(name, address, kind, failureDomain, "leaving");
    }

    private static void requireText(String field, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("field " + field + " of a VM is missing or empty");
        }
    }

    private static void requireOneOf(String field, String value, Set<String> allowed) {
        if (value == null || !allowed.contains(value)) {
            throw new IllegalArgumentException(
                    "field " + field + " of a VM is '" + value + "'; it must be one of " + allowed);
        }
    }
}
