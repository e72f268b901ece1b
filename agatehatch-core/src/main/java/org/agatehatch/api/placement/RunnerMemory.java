package org.agatehatch.api.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.agatehatch.api.catalogue.BackendServer;

/** Memory accounting for the accelerators of one runner during a planning round. */
final class RunnerMemory {
    private final BackendServer server;
    private final boolean available;
    private final long[] freeMib;
    private final long[] releasingMib;
    private final List<Charge> charges = new ArrayList<>();

    RunnerMemory(BackendServer server, boolean available) {
        this.server = server;
        this.available = available;
        this.freeMib = new long[server.accelerators()];
        this.releasingMib = new long[server.accelerators()];
        java.util.Arrays.fill(freeMib, server.acceleratorMemoryMib());
    }

    String name() {
        return server.name();
    }

    String failureDomain() {
        return server.failureDomain();
    }

    boolean checksFencing() {
        return server.checksFencing();
    }

    boolean available() {
        return available;
    }

    List<Charge> charges() {
        return charges;
    }

    long freeMib(int accelerator) {
        return freeMib[accelerator];
    }

    boolean holds(String model) {
        for (Charge charge : charges) {
            if (charge.model().equals(model)) {
                return true;
            }
        }
        return false;
    }

    boolean holds(String model, String version) {
        for (Charge charge : charges) {
            if (charge.model().equals(model) && charge.version().equals(version)) {
                return true;
            }
        }
        return false;
    }

    void add(Charge charge) {
        charges.add(charge);
        allocate(charge.accelerators(), charge.memoryMib());
        if (charge.state() == ChargeState.UNLOADING) {
            markReleasing(charge);
        }
    }

    void remove(Charge charge) {
        charges.remove(charge);
        allocate(charge.accelerators(), -charge.memoryMib());
    }

    void allocate(List<Integer> accelerators, long memoryMib) {
        for (int accelerator : accelerators) {
            if (accelerator < freeMib.length) {
                freeMib[accelerator] -= memoryMib;
            }
        }
    }

    void markReleasing(Charge charge) {
        for (int accelerator : charge.accelerators()) {
            if (accelerator < releasingMib.length) {
                releasingMib[accelerator] += charge.memoryMib();
            }
        }
    }

    /** Earmarks memory that is being released for one model, so that no second model waits for the same memory. */
    void earmarkReleasingMemory(List<Integer> accelerators, long memoryMib) {
        for (int accelerator : accelerators) {
            releasingMib[accelerator] -= memoryMib;
        }
    }

    /** Returns the accelerators with the least usable memory among those with at least {@code memoryMib}. */
    Optional<List<Integer>> bestFit(int count, long memoryMib, boolean includeReleasing) {
        int fitting = 0;
        for (int i = 0; i < freeMib.length; i++) {
            if (usableMib(i, includeReleasing) >= memoryMib) {
                fitting++;
            }
        }
        if (fitting < count) {
            return Optional.empty();
        }
        return Optional.of(IntStream.range(0, freeMib.length)
                .filter(i -> usableMib(i, includeReleasing) >= memoryMib)
                .boxed()
                .sorted(Comparator.<Integer>comparingLong(i -> usableMib(i, includeReleasing))
                        .thenComparing(i -> i))
                .limit(count)
                .sorted()
                .toList());
    }

    long usableMib(int accelerator, boolean includeReleasing) {
        return freeMib[accelerator] + (includeReleasing ? releasingMib[accelerator] : 0);
    }

    int acceleratorCount() {
        return freeMib.length;
    }
}
