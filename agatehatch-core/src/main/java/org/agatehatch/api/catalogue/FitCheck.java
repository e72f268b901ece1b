package org.agatehatch.api.catalogue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that one replica of every model fits in its pool at the same time, by first-fit decreasing bin packing with
 * each accelerator as a separate bin. All nodes run the same deterministic code and so agree on the result.
 */
public final class FitCheck {
    private static final Comparator<ModelEntry> LARGEST_FIRST = Comparator.comparingLong(ModelEntry::memoryMib)
            .thenComparingInt(ModelEntry::accelerators)
            .reversed()
            .thenComparing(ModelEntry::name);

    private FitCheck() {}

    /** Returns a placement for one replica of each model that fits. */
    public static Result check(Catalogue catalogue) {
        Map<String, Placement> placements = new TreeMap<>();
        List<String> unplaced = new ArrayList<>();
        Map<String, Map<String, long[]>> freeByPool = freeMemory(catalogue);
        catalogue.models().values().stream()
                .filter(model -> !model.isAdapter())
                .sorted(LARGEST_FIRST)
                .forEach(model -> {
                    Placement placement = place(model, freeByPool.getOrDefault(model.pool(), Map.of()));
                    if (placement == null) {
                        unplaced.add(model.name());
                    } else {
                        placements.put(model.name(), placement);
                    }
                });
        return new Result(placements, unplaced);
    }

    private static Map<String, Map<String, long[]>> freeMemory(Catalogue catalogue) {
        Map<String, Map<String, long[]>> freeByPool = new LinkedHashMap<>();
        for (BackendServer server : new TreeMap<>(catalogue.backendServers()).values()) {
            long[] freeMib = new long[server.accelerators()];
            Arrays.fill(freeMib, server.acceleratorMemoryMib());
            freeByPool
                    .computeIfAbsent(server.pool(), ignored -> new LinkedHashMap<>())
                    .put(server.name(), freeMib);
        }
        return freeByPool;
    }

    private static Placement place(ModelEntry model, Map<String, long[]> freeByRunner) {
        for (Map.Entry<String, long[]> runner : freeByRunner.entrySet()) {
            long[] freeMib = runner.getValue();
            List<Integer> chosen = new ArrayList<>();
            for (int i = 0; i < freeMib.length && chosen.size() < model.accelerators(); i++) {
                if (freeMib[i] >= model.memoryMib()) {
                    chosen.add(i);
                }
            }
            if (chosen.size() == model.accelerators()) {
                chosen.forEach(index -> freeMib[index] -= model.memoryMib());
                return new Placement(runner.getKey(), chosen);
            }
        }
        return null;
    }

    /**
     * The accelerators for one replica of a model.
     *
     * @param accelerators indexes of the accelerators on the runner
     */
    public record Placement(String runner, List<Integer> accelerators) {
        public Placement {
            accelerators = List.copyOf(accelerators);
        }
    }

    /**
     * The result of the check.
     *
     * @param placements placement by model name
     * @param unplaced models that do not fit, largest memory first
     */
    public record Result(Map<String, Placement> placements, List<String> unplaced) {
        public Result {
            placements = Map.copyOf(placements);
            unplaced = List.copyOf(unplaced);
        }

        /** Returns whether every model fits. */
        public boolean fits() {
            return unplaced.isEmpty();
        }
    }
}
