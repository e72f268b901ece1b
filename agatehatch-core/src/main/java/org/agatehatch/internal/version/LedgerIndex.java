package org.agatehatch.internal.version;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.agatehatch.api.placement.ChargeState;

/** Indexes over the ledger's charges, updated with each change so that applying a record needs no scan. */
final class LedgerIndex {
    private final Map<String, long[]> usedMibByRunner = new TreeMap<>();
    // Sorted, so that a ledger restored from a snapshot iterates over charges in the same order as its source.
    private final Map<String, Set<String>> ordersByRunner = new HashMap<>();
    private final Map<String, Set<String>> readyByModel = new HashMap<>();
    private final Map<String, Integer> loadingByPool = new HashMap<>();

    void add(LedgerEntry entry) {
        adjust(entry, 1);
        ordersByRunner
                .computeIfAbsent(entry.charge().runner(), name -> new TreeSet<>())
                .add(entry.charge().orderId());
        if (entry.charge().state() == ChargeState.READY) {
            readyByModel
                    .computeIfAbsent(entry.charge().model(), name -> new TreeSet<>())
                    .add(entry.charge().orderId());
        }
    }

    void remove(LedgerEntry entry) {
        adjust(entry, -1);
        removeFrom(ordersByRunner, entry.charge().runner(), entry.charge().orderId());
        removeFrom(readyByModel, entry.charge().model(), entry.charge().orderId());
        if (!ordersByRunner.containsKey(entry.charge().runner())) {
            usedMibByRunner.remove(entry.charge().runner());
        }
    }

    Set<String> runners() {
        return usedMibByRunner.keySet();
    }

    int accelerators(String runner) {
        return usedMibByRunner.getOrDefault(runner, new long[0]).length;
    }

    long usedMib(String runner, int accelerator) {
        long[] used = usedMibByRunner.get(runner);
        return used == null || accelerator >= used.length ? 0 : used[accelerator];
    }

    Set<String> orders(String runner) {
        return ordersByRunner.getOrDefault(runner, Set.of());
    }

    Set<String> readyOrders(String model) {
        return readyByModel.getOrDefault(model, Set.of());
    }

    int loadsInFlight(String pool) {
        return loadingByPool.getOrDefault(pool, 0);
    }

    private void adjust(LedgerEntry entry, int sign) {
        int highest =
                entry.charge().accelerators().stream().mapToInt(a -> a).max().orElse(-1);
        long[] used = usedMibByRunner.getOrDefault(entry.charge().runner(), new long[0]);
        if (used.length <= highest) {
            used = Arrays.copyOf(used, highest + 1);
        }
        for (int accelerator : entry.charge().accelerators()) {
            used[accelerator] += sign * entry.charge().memoryMib();
        }
        usedMibByRunner.put(entry.charge().runner(), used);
        if (entry.charge().state() == ChargeState.LOADING) {
            loadingByPool.merge(entry.pool(), sign, Integer::sum);
        }
    }

    private static void removeFrom(Map<String, Set<String>> sets, String key, String value) {
        Set<String> set = sets.get(key);
        if (set != null && set.remove(value) && set.isEmpty()) {
            sets.remove(key);
        }
    }
}
