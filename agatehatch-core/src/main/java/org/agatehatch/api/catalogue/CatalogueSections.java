package org.agatehatch.api.catalogue;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** The sections of the catalogue. Entries of a section refer only to entries of the same or an earlier section. */
final class CatalogueSections {
    static final List<String> HTTP_METHODS = List.of("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT");

    private static final long HOUR_MILLIS = 3_600_000;
    private static final long DAY_MILLIS = 24 * HOUR_MILLIS;
    /** 16 TiB: more than any accelerator has, and small enough that sums over a catalogue do not overflow. */
    private static final long MAX_MEMORY_MIB = 16L * 1024 * 1024;

    private static final int MAX_ACCELERATORS = 64;

    static final CatalogueSection<RequestClass> CLASSES = new CatalogueSection<>(
            "classes",
            "Classes of requests with their priority and promises.",
            List.of(
                    FieldSpec.integer("priority", 0, 100, "Higher values go first."),
                    FieldSpec.integer("first_token_ms", 1, HOUR_MILLIS, "Promise for the first token, or first byte."),
                    FieldSpec.integer("between_tokens_ms", 1, HOUR_MILLIS, "Promise for the time between two tokens."),
                    FieldSpec.integer("whole_answer_ms", 1, DAY_MILLIS, "Promise for the whole answer; the deadline.")),
            Catalogue::classes,
            (name, fields) -> new RequestClass(
                    name,
                    intOf(fields, "priority"),
                    longOf(fields, "first_token_ms"),
                    longOf(fields, "between_tokens_ms"),
                    longOf(fields, "whole_answer_ms")),
            entry -> List.of(
                    (long) entry.priority(),
                    entry.firstTokenMillis(),
                    entry.betweenTokensMillis(),
                    entry.wholeAnswerMillis()));

    static final CatalogueSection<Owner> OWNERS = new CatalogueSection<>(
            "owners",
            "Owners of entries and accelerators.",
            List.of(
                    FieldSpec.number(
                            "share", 0.001, 1_000_000, "Promised part of accelerator time, relative to others."),
                    FieldSpec.integer("max_queued_requests", 1, 1_000_000, "Most requests that one node queues."),
                    FieldSpec.integer(
                                    "max_tokens_per_second",
                                    0,
                                    1_000_000_000,
                                    "Most output tokens a second over all nodes; 0 for no limit.")
                            .withDefault(0L)),
            Catalogue::owners,
            (name, fields) -> new Owner(
                    name,
                    doubleOf(fields, "share"),
                    intOf(fields, "max_queued_requests"),
                    longOf(fields, "max_tokens_per_second")),
            entry -> List.of(entry.share(), (long) entry.maxQueuedRequests(), entry.maxTokensPerSecond()));

    static final CatalogueSection<Pool> POOLS = new CatalogueSection<>(
            "pools",
            "Groups of backend servers that serve the same entries.",
            List.of(
                    FieldSpec.choice("kind", List.of("model", "service"), "What the backend servers are."),
                    FieldSpec.text("region", "Region of all backend servers of the pool."),
                    FieldSpec.integer("store_loads_at_once", 0, 10_000, "Most weight store loads in flight.")
                            .withDefault(0L),
                    FieldSpec.number("store_loads_per_second", 0, 10_000, "Loads a second that the store allows.")
                            .withDefault(0.0),
                    FieldSpec.integer("adapter_loads_in_flight", 0, 100_000, "Most adapter loads in flight.")
                            .withDefault(0L),
                    FieldSpec.number("move_weight", 0, 1_000_000, "Cost of a move; higher values move less.")
                            .withDefault(1.0)),
            Catalogue::pools,
            (name, fields) -> new Pool(
                    name,
                    PoolKind.valueOf(textOf(fields, "kind").toUpperCase(Locale.ROOT)),
                    textOf(fields, "region"),
                    intOf(fields, "store_loads_at_once"),
                    doubleOf(fields, "store_loads_per_second"),
                    intOf(fields, "adapter_loads_in_flight"),
                    doubleOf(fields, "move_weight")),
            entry -> List.of(
                    entry.kind().name().toLowerCase(Locale.ROOT),
                    entry.region(),
                    (long) entry.storeLoadsAtOnce(),
                    entry.storeLoadsPerSecond(),
                    (long) entry.adapterLoadsInFlight(),
                    entry.moveWeight()));

    static final CatalogueSection<BackendServer> BACKEND_SERVERS = new CatalogueSection<>(
            "backend_servers",
            "Runners with accelerators, and servers of plain services.",
            List.of(
                    FieldSpec.text("address", "IP number and port, for example 127.0.0.1:9001 or [::1]:9001."),
                    FieldSpec.text("failure_domain", "Servers that fail together."),
                    FieldSpec.text("region", "Region of the failure domain."),
                    FieldSpec.text("pool", "Name of an entry in pools."),
                    FieldSpec.text("owner", "Name of an entry in owners."),
                    FieldSpec.integer("accelerators", 0, MAX_ACCELERATORS, "Number of accelerators; 0 for a service.")
                            .withDefault(0L),
                    FieldSpec.integer("accelerator_memory_mib", 0, MAX_MEMORY_MIB, "Memory of each accelerator.")
                            .withDefault(0L),
                    FieldSpec.flag("checks_fencing", false, "Whether orders with an old fencing number are refused.")),
            Catalogue::backendServers,
            (name, fields) -> new BackendServer(
                    name,
                    textOf(fields, "address"),
                    textOf(fields, "failure_domain"),
                    textOf(fields, "region"),
                    textOf(fields, "pool"),
                    textOf(fields, "owner"),
                    intOf(fields, "accelerators"),
                    longOf(fields, "accelerator_memory_mib"),
                    flagOf(fields, "checks_fencing")),
            entry -> List.of(
                    entry.address(),
                    entry.failureDomain(),
                    entry.region(),
                    entry.pool(),
                    entry.owner(),
                    (long) entry.accelerators(),
                    entry.acceleratorMemoryMib(),
                    entry.checksFencing()));

    static final CatalogueSection<ModelEntry> MODELS = new CatalogueSection<>(
            "models",
            "Models and adapters.",
            List.of(
                    FieldSpec.optionalText("base", "Base model of an adapter, in the same pool; missing for a model."),
                    FieldSpec.text("owner", "Name of an entry in owners."),
                    FieldSpec.text("class", "Name of an entry in classes."),
                    FieldSpec.text("pool", "Name of a pool of kind model."),
                    FieldSpec.text("version", "Version of the weights."),
                    FieldSpec.integer(
                            "memory_mib",
                            0,
                            MAX_MEMORY_MIB,
                            "Memory on each of its accelerators; a model's memory includes room for adapters in use."),
                    FieldSpec.integer(
                                    "accelerators", 0, MAX_ACCELERATORS, "Accelerators of a replica; 0 for an adapter.")
                            .withDefault(0L),
                    FieldSpec.integer("replicas", 0, 1_000, "Replicas wanted; 0 for an adapter.")
                            .withDefault(0L),
                    FieldSpec.integer("max_output_tokens", 1, 10_000_000, "Most tokens of one answer."),
                    FieldSpec.flag("idempotent", true, "Whether a request may be run again.")),
            Catalogue::models,
            (name, fields) -> new ModelEntry(
                    name,
                    Optional.of(textOf(fields, "base")).filter(base -> !base.isEmpty()),
                    textOf(fields, "owner"),
                    textOf(fields, "class"),
                    textOf(fields, "pool"),
                    textOf(fields, "version"),
                    longOf(fields, "memory_mib"),
                    intOf(fields, "accelerators"),
                    intOf(fields, "replicas"),
                    intOf(fields, "max_output_tokens"),
                    flagOf(fields, "idempotent")),
            entry -> List.of(
                    entry.base().orElse(""),
                    entry.owner(),
                    entry.requestClass(),
                    entry.pool(),
                    entry.version(),
                    entry.memoryMib(),
                    (long) entry.accelerators(),
                    (long) entry.replicas(),
                    (long) entry.maxOutputTokens(),
                    entry.idempotent()));

    static final CatalogueSection<ServiceEntry> SERVICES = new CatalogueSection<>(
            "services",
            "Plain services.",
            List.of(
                    FieldSpec.text("owner", "Name of an entry in owners."),
                    FieldSpec.text("class", "Name of an entry in classes."),
                    FieldSpec.text("pool", "Name of a pool of kind service."),
                    FieldSpec.choices("idempotent_methods", HTTP_METHODS, "Methods whose calls may be repeated."),
                    FieldSpec.integer("timeout_ms", 1, DAY_MILLIS, "Longest time that one attempt may take.")),
            Catalogue::services,
            (name, fields) -> new ServiceEntry(
                    name,
                    textOf(fields, "owner"),
                    textOf(fields, "class"),
                    textOf(fields, "pool"),
                    textsOf(fields, "idempotent_methods"),
                    longOf(fields, "timeout_ms")),
            entry -> List.of(
                    entry.owner(),
                    entry.requestClass(),
                    entry.pool(),
                    List.copyOf(new TreeSet<>(entry.idempotentMethods())),
                    entry.timeoutMillis()));

    static final List<CatalogueSection<?>> ALL = List.of(CLASSES, OWNERS, POOLS, BACKEND_SERVERS, MODELS, SERVICES);

    private CatalogueSections() {}

    static Optional<CatalogueSection<?>> named(String name) {
        return ALL.stream().filter(section -> section.name().equals(name)).findFirst();
    }

    private static String textOf(Map<String, Object> fields, String name) {
        return (String) fields.get(name);
    }

    private static long longOf(Map<String, Object> fields, String name) {
        return ((Number) fields.get(name)).longValue();
    }

    private static int intOf(Map<String, Object> fields, String name) {
        return Math.toIntExact(longOf(fields, name));
    }

    private static double doubleOf(Map<String, Object> fields, String name) {
        return ((Number) fields.get(name)).doubleValue();
    }

    private static boolean flagOf(Map<String, Object> fields, String name) {
        return (Boolean) fields.get(name);
    }

    private static Set<String> textsOf(Map<String, Object> fields, String name) {
        TreeSet<String> texts = new TreeSet<>();
        ((List<?>) fields.get(name)).forEach(item -> texts.add((String) item));
        return texts;
    }
}
