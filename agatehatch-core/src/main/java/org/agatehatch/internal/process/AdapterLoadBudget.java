package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatehatch.api.time.MonotonicClock;

/**
 * This node's part of a pool's adapter loads in flight. All nodes apportion the pool's limit alike from the demands in
 * the digest, so no message is needed per load.
 */
public final class AdapterLoadBudget {
    /** Demand follows a burst within a few apportionments, which are 1 s apart. */
    private static final double DEMAND_TIME_CONSTANT_SECONDS = 5;
    /**
     * Part of the total demand that counts as everyone's, in equal parts. Where the limit allows, a node without recent
     * demand so has a slot for its first load.
     */
    private static final double EVENLY_SHARED_FRACTION = 0.1;

    private final String node;
    private final DecayingRate demand;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile int slots;

    /** Creates a budget without slots; they come with the first apportionment. */
    public AdapterLoadBudget(String node, MonotonicClock clock) {
        this.node = node;
        this.demand = new DecayingRate(clock, DEMAND_TIME_CONSTANT_SECONDS);
    }

    /** Notes that a request needs an adapter that its best runners do not have. */
    public void recordDemand() {
        demand.add(1);
    }

    /** Returns the wanted loads per second of this node, for the digest. */
    public double demandPerSecond() {
        return demand.perSecond();
    }

    /**
     * Takes over this node's part of a new apportionment. Loads in flight beyond it end on their own within
     * milliseconds; until then no new one starts.
     *
     * @param demandByNode wanted loads per second of all live nodes, this one included
     */
    public void apportion(int limit, Map<String, Double> demandByNode) {
        slots = apportionment(limit, demandByNode).getOrDefault(node, 0);
    }

    /** Takes a slot for one load. Returns false if all are taken. */
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

    /** Gives a slot back. */
    public void release() {
        inFlight.updateAndGet(current -> Math.max(0, current - 1));
    }

    /** Returns whether a slot is free now. */
    public boolean hasFreeSlot() {
        return inFlight.get() < slots;
    }

    /** Returns this node's slots. */
    public int slots() {
        return slots;
    }

    /**
     * Returns each node's slots by the largest remainder method: the whole part of its quota, and one more for the
     * largest fractions until the limit is reached. The sum is the limit.
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

    /** The demand of another node is input from outside; a value that is no number must not spoil the sum. */
    private static double sanitize(double demandPerSecond) {
        return Double.isFinite(demandPerSecond) ? Math.max(0, demandPerSecond) : 0;
    }

    private record Remainder(String node, double fraction) {}
}
