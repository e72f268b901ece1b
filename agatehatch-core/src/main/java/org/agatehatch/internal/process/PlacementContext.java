package org.agatehatch.internal.process;

import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.engine.EngineOrders;
import org.agatehatch.api.placement.PlacementPolicy;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.version.PlacementLedger;

/**
 * Dependencies of the placement executor of one pool. The suppliers are called on the control thread.
 *
 * @param demandTokensPerSecond smoothed demand by model; the demand for an adapter counts towards its base model
 * @param unavailableRunners runners that are dead, leaving or drained
 * @param random source of jitter and record ids
 */
public record PlacementContext(
        String pool,
        Supplier<Catalogue> catalogue,
        Supplier<PlacementLedger> ledger,
        Supplier<Map<String, Double>> demandTokensPerSecond,
        Supplier<Set<String>> unavailableRunners,
        LeaseGuard lease,
        EngineOrders engines,
        RecordSink sink,
        PlacementPolicy policy,
        MonotonicClock clock,
        RandomGenerator random,
        PlacementTimes times) {
    /** Returns a random 128-bit id as 32 hexadecimal digits. */
    public String randomId() {
        return String.format("%016x%016x", random.nextLong(), random.nextLong());
    }
}
