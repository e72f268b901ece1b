package org.agatehatch.benchmarks;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.Pool;
import org.agatehatch.api.catalogue.PoolKind;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.EngineOrders;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.api.placement.DefaultPlacementPolicy;
import org.agatehatch.api.placement.PlacementChange;
import org.agatehatch.api.placement.PlacementInput;
import org.agatehatch.api.placement.PlacementPolicy;
import org.agatehatch.api.placement.PlacementSettings;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.PlacementContext;
import org.agatehatch.internal.process.PlacementExecutor;
import org.agatehatch.internal.process.PlacementTimes;
import org.agatehatch.internal.process.RecordSink;
import org.agatehatch.internal.version.PlacementLedger;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.OrderSettled;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.agatehatch.internal.version.record.StateRecord.SettledOutcome;

/**
 * Measures the control work of placement in processor time of one thread: a planning round, a ledger record, and a tick
 * of the executor, at three sizes of one pool.
 */
public final class PlacementBenchmark {
    private static final int ACCELERATORS = 8;
    private static final int WARM_UP = 200;
    private static final int RUNS = 300;
    private static final double TICKS_PER_SECOND = 4;
    private static final double ROUND_SECONDS = 5;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final Catalogue catalogue;
    private final PlacementLedger ledger = new PlacementLedger();
    private final PlacementPolicy policy = new DefaultPlacementPolicy(PlacementSettings.withReplicaRate(2_000));
    private final Map<String, Double> demand = new HashMap<>();
    private long offset;

    private PlacementBenchmark(int runners, int models) {
        Random random = new Random(42);
        Map<String, BackendServer> servers = new HashMap<>();
        for (int i = 0; i < runners; i++) {
            String name = String.format(Locale.ROOT, "runner-%04d", i);
            servers.put(
                    name,
                    new BackendServer(
                            name,
                            "127.0.0.1:1",
                            "domain-" + i % 6,
                            "r",
                            "pool",
                            "o",
                            ACCELERATORS,
                            80_000,
                            i % 3 != 0));
        }
        Map<String, ModelEntry> entries = new HashMap<>();
        for (int i = 0; i < models; i++) {
            String name = String.format(Locale.ROOT, "model-%04d", i);
            long memoryMib = 10_000 + random.nextInt(50_000);
            int accelerators = i % 10 == 0 ? 4 : 1;
            entries.put(
                    name,
                    new ModelEntry(
                            name,
                            Optional.empty(),
                            "o",
                            "c",
                            "pool",
                            "v1",
                            memoryMib,
                            accelerators,
                            1 + i % 2,
                            1,
                            true));
            demand.put(name, Math.exp(5 + 1.5 * random.nextGaussian()));
        }
        Pool pool = new Pool("pool", PoolKind.MODEL, "r", 64, 20, 30, 60);
        catalogue = new Catalogue(1, Map.of(), Map.of(), Map.of("pool", pool), servers, entries, Map.of());
    }

    public static void main(String[] args) {
        System.out.println("size             step                          mean_us    p50_us    p99_us  core_percent");
        for (int[] size : new int[][] {{60, 120}, {200, 400}, {600, 1200}}) {
            new PlacementBenchmark(size[0], size[1]).measure(size[0] + "/" + size[1]);
        }
    }

    private void measure(String size) {
        PlacementInput cold = input(Set.of(), demand);
        report(size, "round, nothing placed", 1 / ROUND_SECONDS, () -> policy.plan(cold));
        fill();
        PlacementInput steady = input(Set.of(), demand);
        report(size, "round, steady", 1 / ROUND_SECONDS, () -> policy.plan(steady));
        Set<String> failed = Set.copyOf(catalogue.backendServers().keySet().stream()
                .filter(name ->
                        catalogue.backendServers().get(name).failureDomain().equals("domain-1"))
                .toList());
        PlacementInput lost = input(failed, demand);
        report(size, "round, one of 6 domains lost", 1 / ROUND_SECONDS, () -> policy.plan(lost));
        Map<String, Double> tenfold = new HashMap<>();
        demand.forEach((model, value) -> tenfold.put(model, 10 * value));
        PlacementInput burst = input(Set.of(), tenfold);
        report(size, "round, tenfold demand", 1 / ROUND_SECONDS, () -> policy.plan(burst));
        long[] nowMillis = {1};
        PlacementExecutor executor = executor(() -> nowMillis[0] * 1_000_000);
        report(size, "executor tick without plan", TICKS_PER_SECOND, () -> {
            nowMillis[0] += 250;
            executor.tick();
        });
        report(size, "ledger, one record of four", 10, this::ledgerCycle, 4);
    }

    private PlacementInput input(Set<String> unavailable, Map<String, Double> tokensPerSecond) {
        return new PlacementInput(
                catalogue, "pool", ledger.charges(), tokensPerSecond, unavailable, Map.of(), 0, 1_000_000, Map.of());
    }

    /** Carries plans out until they change nothing but reservations. */
    private void fill() {
        for (int round = 0; round < 400; round++) {
            List<PlacementChange> changes = policy.plan(input(Set.of(), demand));
            if (changes.isEmpty()) {
                return;
            }
            for (PlacementChange change : changes) {
                carryOut(change);
            }
        }
    }

    private void carryOut(PlacementChange change) {
        ModelEntry model = catalogue.models().get(change.model());
        String order = "order-" + offset;
        if (change.kind() == PlacementChange.Kind.LOAD) {
            for (Charge charge : ledger.charges()) {
                if (charge.state() == ChargeState.RESERVED
                        && charge.model().equals(change.model())
                        && charge.runner().equals(change.runner())) {
                    order = charge.orderId();
                }
            }
            apply(intent(IntentKind.LOAD, order, model, change.runner(), change.accelerators()));
            apply(settled(order, SettledOutcome.READY));
        } else if (change.kind() == PlacementChange.Kind.RESERVE) {
            apply(intent(IntentKind.RESERVE, order, model, change.runner(), change.accelerators()));
        } else {
            for (Charge charge : List.copyOf(ledger.charges())) {
                if (charge.model().equals(change.model()) && charge.runner().equals(change.runner())) {
                    IntentKind kind =
                            charge.state() == ChargeState.RESERVED ? IntentKind.CANCEL_RESERVE : IntentKind.UNLOAD;
                    apply(intent(kind, charge.orderId(), model, change.runner(), change.accelerators()));
                    apply(settled(charge.orderId(), SettledOutcome.ABSENT));
                }
            }
        }
    }

    private PlacementIntent intent(
            IntentKind kind, String order, ModelEntry model, String runner, List<Integer> accelerators) {
        return new PlacementIntent(
                "record-" + offset,
                "pool",
                1,
                kind,
                order,
                model.name(),
                model.version(),
                runner,
                accelerators,
                model.memoryMib(),
                "",
                "");
    }

    private OrderSettled settled(String order, SettledOutcome outcome) {
        return new OrderSettled("record-" + offset, "pool", 1, order, outcome, "epoch", 1, 0);
    }

    private boolean apply(StateRecord appended) {
        offset++;
        return appended instanceof PlacementIntent intent
                ? ledger.apply(offset, intent, catalogue).accepted()
                : ledger.apply(offset, (OrderSettled) appended, catalogue).accepted();
    }

    /** Loads a second replica of a model and unloads it again: four records. */
    private void ledgerCycle() {
        for (BackendServer runner : catalogue.backendServers().values()) {
            ModelEntry model = catalogue.models().get("model-0001");
            if (apply(intent(IntentKind.LOAD, "cycle", model, runner.name(), List.of((int) (offset % ACCELERATORS))))) {
                apply(settled("cycle", SettledOutcome.READY));
                apply(intent(IntentKind.UNLOAD, "cycle", model, runner.name(), List.of()));
                apply(settled("cycle", SettledOutcome.ABSENT));
                return;
            }
        }
    }

    private PlacementExecutor executor(MonotonicClock clock) {
        Map<String, List<ResidentModel>> residents = new TreeMap<>();
        for (Charge charge : ledger.charges()) {
            if (charge.state() == ChargeState.READY) {
                residents
                        .computeIfAbsent(charge.runner(), name -> new ArrayList<>())
                        .add(new ResidentModel(
                                charge.model(),
                                charge.version(),
                                charge.orderId(),
                                charge.accelerators(),
                                charge.memoryMib(),
                                true));
            }
        }
        EngineOrders engines = new EngineOrders() {
            @Override
            public CompletionStage<OrderReply> send(BackendServer runner, EngineOrder order) {
                return new CompletableFuture<>();
            }

            @Override
            public CompletionStage<EngineInventory> inventory(BackendServer runner) {
                return CompletableFuture.completedFuture(new EngineInventory(
                        "epoch", 1, 1, "both", false, residents.getOrDefault(runner.name(), List.of())));
            }
        };
        RecordSink sink = appended -> new CompletableFuture<>();
        return new PlacementExecutor(new PlacementContext(
                "pool",
                () -> catalogue,
                () -> ledger,
                () -> demand,
                Set::of,
                () -> OptionalLong.of(1),
                engines,
                sink,
                plan -> List.of(),
                clock,
                new Random(1),
                PlacementTimes.DEFAULTS));
    }

    private static void report(String size, String step, double perSecond, Runnable work) {
        report(size, step, perSecond, work, 1);
    }

    private static void report(String size, String step, double perSecond, Runnable work, int parts) {
        for (int i = 0; i < WARM_UP; i++) {
            work.run();
        }
        double[] micros = new double[RUNS];
        for (int i = 0; i < RUNS; i++) {
            long start = THREADS.getCurrentThreadCpuTime();
            work.run();
            micros[i] = (THREADS.getCurrentThreadCpuTime() - start) / 1_000.0 / parts;
        }
        Arrays.sort(micros);
        double mean = Arrays.stream(micros).average().orElse(0);
        System.out.printf(
                Locale.ROOT,
                "%-16s %-28s %9.1f %9.1f %9.1f  %12.4f%n",
                size,
                step,
                mean,
                micros[RUNS / 2],
                micros[RUNS * 99 / 100],
                mean * perSecond / 1e4);
    }
}
