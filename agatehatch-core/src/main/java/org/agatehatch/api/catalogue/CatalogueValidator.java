package org.agatehatch.api.catalogue;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Validates references between entries, addresses, and dependencies between fields. Types and ranges of single fields
 * are validated when an entry is read.
 */
final class CatalogueValidator {
    private static final Pattern IPV4_ADDRESS = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})");
    private static final Pattern IPV6_ADDRESS = Pattern.compile("[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*");
    private static final Pattern ADDRESS = Pattern.compile("(?:\\[([^]]+)]|([^\\[\\]:]+)):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_IPV4_PART = 255;

    private final Catalogue catalogue;
    private final Map<String, Set<String>> invalidNames;
    private final List<CatalogueProblem> problems = new ArrayList<>();

    private CatalogueValidator(Catalogue catalogue, Map<String, Set<String>> brokenNames) {
        this.catalogue = catalogue;
        this.invalidNames = brokenNames;
    }

    /**
     * Returns the problems in a fixed order.
     *
     * @param brokenNames names of declared entries that failed validation, by section; references to them are accepted
     */
    static List<CatalogueProblem> validate(Catalogue catalogue, Map<String, Set<String>> brokenNames) {
        CatalogueValidator validator = new CatalogueValidator(catalogue, brokenNames);
        new TreeMap<>(catalogue.classes()).values().forEach(validator::checkClass);
        new TreeMap<>(catalogue.pools()).values().forEach(validator::checkPool);
        validator.checkBackendServers();
        new TreeMap<>(catalogue.models()).values().forEach(validator::checkModel);
        new TreeMap<>(catalogue.services()).values().forEach(validator::checkService);
        return validator.problems;
    }

    private void checkClass(RequestClass entry) {
        require(
                entry.firstTokenMillis() <= entry.wholeAnswerMillis(),
                "classes." + entry.name() + ".first_token_ms",
                entry.firstTokenMillis(),
                "at most whole_answer_ms, which is " + entry.wholeAnswerMillis());
    }

    private void checkPool(Pool pool) {
        boolean storeNeeded = pool.kind() == PoolKind.MODEL;
        String path = "pools." + pool.name();
        String allowed = storeNeeded ? "above 0 for a pool of kind model" : "0 for a pool of kind service";
        require(
                storeNeeded == pool.storeLoadsAtOnce() > 0,
                path + ".store_loads_at_once",
                pool.storeLoadsAtOnce(),
                allowed);
        require(
                storeNeeded == pool.storeLoadsPerSecond() > 0,
                path + ".store_loads_per_second",
                pool.storeLoadsPerSecond(),
                allowed);
    }

    private void checkBackendServers() {
        Map<String, String> serverByAddress = new TreeMap<>();
        Map<String, BackendServer> serverByFailureDomain = new TreeMap<>();
        for (BackendServer server : new TreeMap<>(catalogue.backendServers()).values()) {
            checkBackendServer(server);
            String path = "backend_servers." + server.name();
            String addressUser = serverByAddress.putIfAbsent(server.address(), server.name());
            require(
                    addressUser == null,
                    path + ".address",
                    server.address(),
                    "a unique address; " + addressUser + " has the same one");
            BackendServer firstInDomain = serverByFailureDomain.putIfAbsent(server.failureDomain(), server);
            require(
                    firstInDomain == null || firstInDomain.region().equals(server.region()),
                    path + ".region",
                    server.region(),
                    firstInDomain == null
                            ? ""
                            : firstInDomain.region() + ", as for " + firstInDomain.name()
                                    + " in the same failure domain");
        }
    }

    private void checkBackendServer(BackendServer server) {
        String path = "backend_servers." + server.name();
        require(
                isAddress(server.address()),
                path + ".address",
                server.address(),
                "IP number and port, for example 127.0.0.1:9001 or [::1]:9001");
        requireReference("owners", catalogue.owners(), path + ".owner", server.owner());
        requireReference("pools", catalogue.pools(), path + ".pool", server.pool());
        Pool pool = catalogue.pools().get(server.pool());
        if (pool == null) {
            return;
        }
        require(
                pool.region().equals(server.region()),
                path + ".region",
                server.region(),
                pool.region() + ", the region of pool " + pool.name());
        boolean runner = pool.kind() == PoolKind.MODEL;
        String allowed = runner ? "at least 1 in a pool of kind model" : "0 in a pool of kind service";
        require(runner == server.accelerators() > 0, path + ".accelerators", server.accelerators(), allowed);
        require(
                runner == server.acceleratorMemoryMib() > 0,
                path + ".accelerator_memory_mib",
                server.acceleratorMemoryMib(),
                allowed);
    }

    private void checkModel(ModelEntry model) {
        String path = "models." + model.name();
        requireReference("owners", catalogue.owners(), path + ".owner", model.owner());
        requireReference("classes", catalogue.classes(), path + ".class", model.requestClass());
        requirePool(path, model.pool(), PoolKind.MODEL);
        boolean adapter = model.isAdapter();
        String allowed = adapter ? "0 for an adapter" : "at least 1 for a model without base";
        require(adapter == (model.accelerators() == 0), path + ".accelerators", model.accelerators(), allowed);
        require(adapter == (model.replicas() == 0), path + ".replicas", model.replicas(), allowed);
        require(adapter || model.memoryMib() > 0, path + ".memory_mib", model.memoryMib(), allowed);
        model.base().ifPresent(base -> checkBase(path + ".base", model, base));
    }

    private void checkBase(String path, ModelEntry adapter, String baseName) {
        requireReference("models", catalogue.models(), path, baseName);
        Optional.ofNullable(catalogue.models().get(baseName)).ifPresent(base -> {
            require(!base.isAdapter(), path, baseName, "a model that is not an adapter itself");
            require(
                    base.pool().equals(adapter.pool()),
                    path,
                    baseName + " in pool " + base.pool(),
                    "a model of the same pool, " + adapter.pool());
        });
    }

    private void checkService(ServiceEntry service) {
        String path = "services." + service.name();
        requireReference("owners", catalogue.owners(), path + ".owner", service.owner());
        requireReference("classes", catalogue.classes(), path + ".class", service.requestClass());
        requirePool(path, service.pool(), PoolKind.SERVICE);
    }

    private void requirePool(String path, String poolName, PoolKind kind) {
        requireReference("pools", catalogue.pools(), path + ".pool", poolName);
        Pool pool = catalogue.pools().get(poolName);
        require(
                pool == null || pool.kind() == kind,
                path + ".pool",
                poolName,
                "a pool of kind " + kind.name().toLowerCase(Locale.ROOT));
    }

    private void requireReference(String section, Map<String, ?> entries, String path, String name) {
        boolean known = entries.containsKey(name)
                || invalidNames.getOrDefault(section, Set.of()).contains(name);
        require(known, path, name, "the name of an entry in " + section);
    }

    private void require(boolean valid, String path, Object found, String allowed) {
        if (!valid) {
            problems.add(CatalogueProblem.of(path, CatalogueSection.quoted(found), allowed));
        }
    }

    private static boolean isAddress(String address) {
        Matcher matcher = ADDRESS.matcher(address);
        if (!matcher.matches()) {
            return false;
        }
        int port = Integer.parseInt(matcher.group(3));
        boolean ipNumber = matcher.group(1) == null ? isIpv4(matcher.group(2)) : isIpv6(matcher.group(1));
        return ipNumber && port >= 1 && port <= MAX_PORT;
    }

    private static boolean isIpv4(String text) {
        Matcher matcher = IPV4_ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        for (int part = 1; part <= matcher.groupCount(); part++) {
            if (Integer.parseInt(matcher.group(part)) > MAX_IPV4_PART) {
                return false;
            }
        }
        return true;
    }

    // The pattern matches no host name, so InetAddress only parses the text and makes no DNS lookup.
    private static boolean isIpv6(String text) {
        if (!IPV6_ADDRESS.matcher(text).matches()) {
            return false;
        }
        try {
            return InetAddress.getByName("[" + text + "]") != null;
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
