package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatehatch.api.time.MonotonicClock;

/**
 * This node's share of a pool's limit on adapter loads in flight. Each node computes the same apportionment from the
 * per-node demands in the gossip digest, so a load needs no coordination with other nodes. Thread-safe.
 */
public final class AdapterLoadBudget {
    /** Makes the demand rate follow a burst within a few apportionments, which happen once a second. */
    private static final double DEMAND_TIME_CONSTANT_SECONDS = 5;
    /**
     * Extra demand, as a fraction of the total, that is credited to all nodes in equal parts. If the limit is large
     * enough, a node without recent demand thereby keeps a slot for its first load.
     */
    private static final double EVENLY_SHARED_FRACTION = 0.1;

    private final String node;
    private final DecayingRate demand;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile int slots;

    /** Creates a budget with no slots; {@link #apportion} assigns them. */
    public AdapterLoadBudget(String node, MonotonicClock clock) {
        this.node = node;
        this.demand = new DecayingRate(clock, DEMAND_TIME_CONSTANT_SECONDS);
    }

    /** Records that a request needs an adapter that is not resident on the best-ranked runners. */
    public void recordDemand() {
        demand.add(1);
    }

    /** Returns this node's demand in adapter loads per second, for the digest. */
    public double demandPerSecond() {
        return demand.perSecond();
    }

    /**
     * Recomputes this node's slots. If more loads are in flight than the new number of slots, no load starts until
     * enough of them have finished, which takes milliseconds.
     *
     * @param limit most adapter loads in flight over all nodes
     * @param demandByNode demand in loads per second of all live nodes, including this one
     */
    public void apportion(int limit, Map<String, Double> demandByNode) {
        slots = apportionment(limit, demandByNode).getOrDefault(node, 0);
    }

    /** Acquires a slot for one load; returns false if all slots are in use. */
    public boolean tryAcquire() {
        while (true) {
            int current = inFlight.get();
            if (current >= slots) {
                return false;
            }
            if (inFlight.compareAndSet(current, current + 1)) {
                return true;
            }
        }
    }

    /** Releases the slot of a finished load. */
    public void release() {
        inFlight.updateAndGet(current -> Math.max(0, current - 1));
    }

    public boolean hasFreeSlot() {
        return inFlight.get() < slots;
    }

    /** Returns the number of slots of this node, in use or free. */
    public int slots() {
        return slots;
    }

    /**
     * Returns the slots of each node by the largest remainder method: each node gets the integer part of its quota, and
     * the remaining slots go to the largest fractional parts. The slots sum up to the limit.
     */
    static Map<String, Integer> apportionment(int limit, Map<String, Double> demandByNode) {
        if (demandByNode.isEmpty() || limit <= 0) {
            return Map.of();
        }
        double total = demandByNode.values().stream()
                .mapToDouble(AdapterLoadBudget::sanitize)
                .sum();
        double commonDemand = total == 0 ? 1 : total * EVENLY_SHARED_FRACTION / demandByNode.size();
        double totalWeight = total + commonDemand * demandByNode.size();
        Map<String, Integer> slotsByNode = new HashMap<>();
        List<Remainder> remainders = new ArrayList<>();
        int unassigned = limit;
        for (Map.Entry<String, Double> entry : demandByNode.entrySet()) {
            double quota = limit * (sanitize(entry.getValue()) + commonDemand) / totalWeight;
            int wholeSlots = (int) Math.floor(quota);
            slotsByNode.put(entry.getKey(), wholeSlots);
            remainders.add(new Remainder(entry.getKey(), quota - wholeSlots));
            unassigned -= wholeSlots;
        }
        remainders.sort(
                Comparator.comparingDouble(Remainder::fraction).reversed().thenComparing(Remainder::node));
        for (int i = 0; i < unassigned && i < remainders.size(); i++) {
            slotsByNode.merge(remainders.get(i).node, 1, Integer::sum);
        }
        return slotsByNode;
    }

    /** Maps a NaN, infinite or negative demand, which a peer may report, to 0 so that it cannot distort the total. */
    private static double sanitize(double demandPerSecond) {
        return Double.isFinite(demandPerSecond) ? Math.max(0, demandPerSecond) : 0;
    }

    private record Remainder(String node, double fraction) {}
}
