package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.api.placement.DefaultPlacementPolicy;
import org.agatehatch.api.placement.PlacementPolicy;
import org.agatehatch.api.placement.PlacementSettings;
import org.agatehatch.internal.version.LedgerEntry;

/** Lease holders, simulated engines and a log on one virtual clock. */
final class PlacementTestHarness {
    static final PlacementTimes TIMES = new PlacementTimes(5_000, 500, 3_000, 5_000, 60_000, 10_000, 2_000, 20_000, 3);

    final FakeControlLog log;
    final FakeEngines engines;
    final Map<String, Double> demand = new HashMap<>();
    final Set<String> unavailable = new HashSet<>();
    PlacementPolicy policy = new DefaultPlacementPolicy(PlacementSettings.withReplicaRate(100));
    /** Number of lease checks that may still succeed; the lease counts as expired afterwards. */
    int leaseChecksLeft = Integer.MAX_VALUE;

    private long nowMillis = 1_000;

    /** A node that may hold the pool's lease. */
    final class Holder {
        private final PlacementExecutor executor;
        private long fencingNumber = -1;

        Holder(long seed) {
            executor = new PlacementExecutor(new PlacementContext(
                    "pool",
                    () -> log.catalogue,
                    () -> log.ledger,
                    () -> demand,
                    () -> unavailable,
                    () -> leaseChecksLeft-- > 0 ? log.ifLeaseHeld(fencingNumber) : OptionalLong.empty(),
                    engines,
                    log::append,
                    input -> policy.plan(input),
                    engines.clock,
                    new Random(seed),
                    TIMES));
        }

        Holder takeLease() {
            fencingNumber = log.takeLease();
            return this;
        }

        void tick() {
            executor.tick();
        }

        /** Advances the virtual time in steps of 250 ms, with a tick before each. */
        void runFor(long millis) {
            for (long end = nowMillis + millis; nowMillis < end; nowMillis += 250) {
                executor.tick();
            }
        }
    }

    PlacementTestHarness(Catalogue catalogue) {
        log = new FakeControlLog(catalogue);
        engines = new FakeEngines(() -> nowMillis * 1_000_000);
    }

    Holder holder(long seed) {
        return new Holder(seed).takeLease();
    }

    void advance(long millis) {
        nowMillis += millis;
    }

    long nowMillis() {
        return nowMillis;
    }

    ChargeState chargeState(String model) {
        return log.ledger.charges().stream()
                .filter(charge -> charge.model().equals(model))
                .map(charge -> charge.state())
                .findFirst()
                .orElse(null);
    }

    LedgerEntry ledgerEntry(String model) {
        return log.ledger.entries().stream()
                .filter(entry -> entry.charge().model().equals(model))
                .findFirst()
                .orElseThrow();
    }
}
