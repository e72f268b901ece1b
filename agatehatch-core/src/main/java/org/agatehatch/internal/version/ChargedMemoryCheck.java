package org.agatehatch.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.placement.Charge;

/** Checks that a catalogue change leaves each accelerator at least the memory that is charged on it. */
final class ChargedMemoryCheck {
    private ChargedMemoryCheck() {}

    /**
     * Returns an error message for each accelerator that would have less memory than is charged on it. Only runners
     * that the change makes smaller or adds are checked: charges of runners that it leaves as they are or removes do
     * not change.
     */
    static List<String> shortfalls(Catalogue before, Catalogue after, Collection<Charge> charges) {
        Map<String, Map<Integer, Long>> chargedMib = new TreeMap<>();
        for (Charge charge : charges) {
            Map<Integer, Long> byAccelerator = chargedMib.computeIfAbsent(charge.runner(), ignored -> new TreeMap<>());
            charge.accelerators().forEach(index -> byAccelerator.merge(index, charge.memoryMib(), Long::sum));
        }
        List<String> shortfalls = new ArrayList<>();
        chargedMib.forEach((runner, byAccelerator) -> {
            BackendServer changed = after.backendServers().get(runner);
            if (changed != null && isSmaller(before.backendServers().get(runner), changed)) {
                byAccelerator.forEach((index, mib) -> addShortfall(changed, index, mib, shortfalls));
            }
        });
        return shortfalls;
    }

    private static boolean isSmaller(BackendServer before, BackendServer after) {
        return before == null
                || after.accelerators() < before.accelerators()
                || after.acceleratorMemoryMib() < before.acceleratorMemoryMib();
    }

    private static void addShortfall(BackendServer runner, int index, long chargedMib, List<String> shortfalls) {
        long memoryMib = index < runner.accelerators() ? runner.acceleratorMemoryMib() : 0;
        if (memoryMib < chargedMib) {
            shortfalls.add("accelerator " + index + " of " + runner.name() + " would have " + memoryMib + " MiB, but "
                    + chargedMib + " MiB are charged on it");
        }
    }
}
