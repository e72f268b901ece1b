package org.agatehatch.internal.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.Pool;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.EngineOrders;
import org.agatehatch.api.engine.OrderKind;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.version.LedgerEntry;
import org.agatehatch.internal.version.PlacementLedger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads reserved standby replicas while the log is down and no ready replica of their model is alive. Any node may do
 * this without a lease: the memory is already charged to exactly that model, repeated loads of one order yield a single
 * residency, and a runner that has seen the fencing number of the cancelling intent refuses the reservation's lower
 * one.
 */
public final class StandbyFailover {
    private static final Logger log = LoggerFactory.getLogger(StandbyFailover.class);

    private final Sources sources;
    private final EngineOrders engines;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final PlacementTimes times;
    private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();
    private final Map<String, Standby> standbys = new TreeMap<>();

    /**
     * The state that the failover reads. The suppliers are called on the control thread.
     *
     * @param logDown whether the log has been unavailable so long that no node can hold a placement lease
     * @param runnerDead whether a runner is known to be dead, not merely suspected
     */
    public record Sources(
            Supplier<Catalogue> catalogue,
            Supplier<PlacementLedger> ledger,
            BooleanSupplier logDown,
            Predicate<String> runnerDead) {}

    /** Progress of one reserved load that this node has ordered or is about to order. */
    private static final class Standby {
        private int attempts;
        private long nextActionMillis;
        private boolean ready;
        private boolean accepted;
        private String epoch = "";
        private long acceptedMillis;

        Standby(long firstActionMillis) {
            nextActionMillis = firstActionMillis;
        }
    }

    public StandbyFailover(
            Sources sources, EngineOrders engines, MonotonicClock clock, RandomGenerator random, PlacementTimes times) {
        this.sources = sources;
        this.engines = engines;
        this.clock = clock;
        this.random = random;
        this.times = times;
    }

    /** Sends due orders and reads due inventories. Must be called on the control thread several times a second. */
    public void tick() {
        for (Runnable event = events.poll(); event != null; event = events.poll()) {
            event.run();
        }
        if (!sources.logDown().getAsBoolean()) {
            standbys.clear();
            return;
        }
        long nowMillis = clock.millis();
        Map<String, List<String>> readyRunners = sources.ledger().get().readyRunnersByModel();
        List<LedgerEntry> needed = sources.ledger().get().entries().stream()
                .filter(entry -> isNeeded(entry, readyRunners))
                .toList();
        standbys.keySet()
                .removeIf(orderId -> needed.stream()
                        .noneMatch(entry -> entry.charge().orderId().equals(orderId)));
        Map<String, Integer> loadingByPool = countLoadsByPool(needed);
        for (LedgerEntry entry : needed) {
            advance(entry, loadingByPool, nowMillis);
        }
    }

    /** Returns, by model, the runners on which reserved loads became ready during the current outage. */
    public Map<String, List<String>> readyStandbys() {
        Map<String, List<String>> result = new TreeMap<>();
        standbys.forEach((orderId, standby) -> {
            if (standby.ready) {
                sources.ledger()
                        .get()
                        .entry(orderId)
                        .ifPresent(entry -> result.merge(
                                entry.charge().model(), List.of(entry.charge().runner()), StandbyFailover::concat));
            }
        });
        return result;
    }

    private static List<String> concat(Collection<String> first, Collection<String> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }

    private boolean isNeeded(LedgerEntry entry, Map<String, List<String>> readyRunners) {
        Charge charge = entry.charge();
        BackendServer runner = sources.catalogue().get().backendServers().get(charge.runner());
        boolean usable = charge.state() == ChargeState.RESERVED
                && runner != null
                && runner.checksFencing()
                && !sources.runnerDead().test(charge.runner())
                && sources.catalogue().get().models().containsKey(charge.model());
        if (!usable) {
            return false;
        }
        return readyRunners.getOrDefault(charge.model(), List.of()).stream().allMatch(sources.runnerDead());
    }

    private Map<String, Integer> countLoadsByPool(List<LedgerEntry> needed) {
        Map<String, Integer> result = new HashMap<>();
        for (LedgerEntry entry : needed) {
            Standby standby = standbys.get(entry.charge().orderId());
            if (standby != null && standby.attempts > 0 && !standby.ready) {
                result.merge(entry.pool(), 1, Integer::sum);
            }
        }
        return result;
    }

    private void advance(LedgerEntry entry, Map<String, Integer> loadingByPool, long nowMillis) {
        // The random first delay prevents nodes that detect the same runner failure from all sending the order at once.
        Standby standby = standbys.computeIfAbsent(
                entry.charge().orderId(), id -> new Standby(nowMillis + random.nextLong(times.backoffMillis() + 1)));
        if (nowMillis < standby.nextActionMillis) {
            return;
        }
        BackendServer runner =
                sources.catalogue().get().backendServers().get(entry.charge().runner());
        if (standby.accepted) {
            standby.nextActionMillis = nowMillis + (standby.ready ? times.idlePollMillis() : times.pollMillis());
            readInventory(entry, standby, runner);
            return;
        }
        Pool pool = sources.catalogue().get().pools().get(entry.pool());
        int limit = pool == null ? 0 : pool.storeLoadsAtOnce();
        if (standby.attempts == 0 && loadingByPool.getOrDefault(entry.pool(), 0) >= limit) {
            return;
        }
        if (standby.attempts == 0) {
            loadingByPool.merge(entry.pool(), 1, Integer::sum);
        }
        send(entry, standby, runner, nowMillis);
    }

    private void send(LedgerEntry entry, Standby standby, BackendServer runner, long nowMillis) {
        Charge charge = entry.charge();
        EngineOrder order = new EngineOrder(
                charge.orderId(),
                entry.loadFencingNumber(),
                OrderKind.LOAD,
                charge.model(),
                charge.version(),
                charge.accelerators(),
                charge.memoryMib(),
                "");
        standby.nextActionMillis =
                nowMillis + times.replyTimeoutMillis() + times.backoffMillis(standby.attempts, random);
        standby.attempts++;
        log.info(
                "placement decision kind=RESERVED_LOAD model={} runner={} order={} fencing={} attempt={}"
                        + " reason=\"log down and no ready replica alive\"",
                charge.model(),
                charge.runner(),
                charge.orderId(),
                order.fencingNumber(),
                standby.attempts);
        engines.send(runner, order)
                .whenComplete((reply, failure) -> events.add(() -> {
                    if (failure != null) {
                        return;
                    }
                    log.info(
                            "placement reserved_load order={} reply={} {}",
                            charge.orderId(),
                            reply.status(),
                            reply.detail());
                    if (reply.status() == OrderReply.Status.ACCEPTED) {
                        standby.accepted = true;
                        standby.epoch = reply.runnerEpoch();
                        standby.acceptedMillis = clock.millis();
                        standby.nextActionMillis = clock.millis();
                    }
                }));
    }

    private void readInventory(LedgerEntry entry, Standby standby, BackendServer runner) {
        engines.inventory(runner)
                .whenComplete((inventory, failure) -> events.add(() -> {
                    if (failure == null) {
                        observe(standby, inventory, entry.charge());
                    }
                }));
    }

    private void observe(Standby standby, EngineInventory inventory, Charge charge) {
        Optional<ResidentModel> resident = RunnerView.residentModel(inventory, charge);
        standby.ready = resident.map(ResidentModel::ready).orElse(false);
        boolean restarted = !inventory.runnerEpoch().equals(standby.epoch);
        boolean timedOut = clock.millis() - standby.acceptedMillis >= times.loadTimeoutMillis();
        if (resident.isEmpty() && (restarted || timedOut)) {
            standby.accepted = false;
        }
    }
}
