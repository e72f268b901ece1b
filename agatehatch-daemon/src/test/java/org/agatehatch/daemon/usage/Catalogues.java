package org.agatehatch.daemon.usage;

import org.agatehatch.standins.PlatformAddresses;

/** Catalogues for the stand-ins of a {@link Deployment}. */
final class Catalogues {
    private static final String HEAD = """
            version: 0
            classes:
              counter: {priority: 80, first_token_ms: 20000, between_tokens_ms: 5000, whole_answer_ms: 60000}
              batch: {priority: 10, first_token_ms: 60000, between_tokens_ms: 5000, whole_answer_ms: 90000}
            owners:
              city-tools: {share: 2, max_queued_requests: 1000}
              igloo-school: {share: 1, max_queued_requests: 1000}
            pools:
              bench: {kind: model, region: local, store_loads_at_once: 4, store_loads_per_second: 20, adapter_loads_in_flight: 30, move_weight: 1}
              desk: {kind: service, region: local}
            """;

    private Catalogues() {}

    /** Returns a catalogue with a model of two replicas, a model of one replica, an adapter and a plain service. */
    static String standard(PlatformAddresses addresses) {
        StringBuilder yaml = new StringBuilder(HEAD).append("backend_servers:\n");
        for (PlatformAddresses.Server engine : addresses.engines()) {
            yaml.append("""
                      %s: {address: "%s", failure_domain: %s, region: local, pool: bench, owner: city-tools, accelerators: 8, accelerator_memory_mib: 81920, checks_fencing: true}
                    """.formatted(engine.name(), engine.address(), engine.failureDomain())
                    .indent(2));
        }
        for (PlatformAddresses.Server server : addresses.services()) {
            yaml.append("""
                      %s: {address: "%s", failure_domain: %s, region: local, pool: desk, owner: city-tools}
                    """.formatted(server.name(), server.address(), server.failureDomain())
                    .indent(2));
        }
        return yaml.append("models:\n")
                .append(model("counter-8b", 2))
                .append(model("tutor-70b", 1))
                .append("""
                          counter-8b-chisels: {base: counter-8b, owner: igloo-school, class: counter, pool: bench, version: "1", memory_mib: 200, max_output_tokens: 4096}
                        """.indent(2))
                .append("""
                        services:
                          orders: {owner: city-tools, class: counter, pool: desk, idempotent_methods: [GET, HEAD], timeout_ms: 10000}
                        """)
                .toString();
    }

    /** Returns the catalogue entry of a model. */
    static String model(String name, int replicas) {
        return """
                  %s: {owner: city-tools, class: counter, pool: bench, version: "1", memory_mib: 20480, accelerators: 1, replicas: %d, max_output_tokens: 4096}
                """.formatted(name, replicas).indent(2);
    }

    /** Returns the catalogue with one additional model of one replica. */
    static String withModel(String yaml, String name) {
        return yaml.replace("models:\n", "models:\n" + model(name, 1));
    }
}
