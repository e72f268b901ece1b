package org.agatehatch.internal.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.EngineSpec;
import org.agatehatch.api.fleet.FleetConfig;
import org.agatehatch.api.fleet.ModelSpec;
import org.agatehatch.api.fleet.ResidencyOrder;
import org.agatehatch.api.fleet.ResidencyOrders;
import org.agatehatch.api.fleet.RunnerReport;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.fleet.ServiceSpec;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives orders to all runners while this node has the right to. Each runner gets one order at a time, tied to the number of
 * orders that it has accepted, so that an order which arrives late has no effect after a newer one. Runs on the control
 * thread.
 */
public final class ResidencyDuty {
    private static final Logger log = LoggerFactory.getLogger(ResidencyDuty.class);

    private static final long TICK_MILLIS = 250;

    /** Shortest time between two plans that requests for absent models ask for; a plan looks at all models and runners. */
    private static final long WANT_PLAN_MILLIS = 50;

    /** Time after which a report is read again. Reports lag some hundred milliseconds behind. */
    private static final long REPORT_RETRY_MILLIS = 250;

    /** Work that a request for an absent model counts as; its real work is counted once it is sent. */
    private static final double WANT_WORK_MILLIS = 15;

    /** Time for which an adapter is wanted; requests wait no longer. */
    private static final long WANT_MILLIS = 400;

    /** Time of an adapter's load; the users' sheets state 5 to 9.7 ms. */
    private static final long ADAPTER_LOAD_MILLIS = 11;

    /** Time between telling the nodes that a model leaves a runner and the order, so that no request is refused for it. */
    private static final long RETIRE_MILLIS = 400;

    /** Time for which changes are told to the nodes; their view of the runners' entries is younger than that. */
    private static final long ANNOUNCE_MILLIS = 2_200;

    /** Time that an unload usually takes: the rest of the runs that need the model. */
    private static final long UNLOAD_MILLIS = 500;

    /** Time until a runner is found for a model that has just been asked for. */
    private static final long PLAN_MILLIS = 600;

    /** Time within which room that is being made for a model should be there. */
    private static final long ROOM_MILLIS = 4_000;

    /** Pause before an adapter's order is repeated at a runner that carries out another one. */
    private static final long CONFLICT_RETRY_MILLIS = 100;

    /** Added to a model's load time before its runner is asked whether it is done. */
    private static final long LOAD_SLACK_MILLIS = 100;

    private final String self;
    private final ResidencyOrders orders;
    private final Supplier<FleetConfig> config;
    private final Supplier<FleetView> fleet;
    private final Supplier<Optional<PlacementRight>> right;
    private final IntSupplier nodes;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final Consumer<String> orderCounter;
    private final ResidencyPlanner planner;
    private final LoadCeiling ceiling;
    private final Map<String, RunnerWork> works = new HashMap<>();
    private final DemandBoard demand;
    private final Map<String, Long> reportedAtMillis = new HashMap<>();
    private final Map<String, Announced> announced = new LinkedHashMap<>();
    private boolean acting;
    private long refusedToken = -1;
    private long plannedAtMillis;

    private record Announced(ResidencyMessages.Change change, long atMillis) {}

    /**
     * Creates a duty that is not held.
     *
     * @param right gives this node's right to give orders
     * @param nodes number of nodes in the group
     * @param loadWindowSeconds span in which the loads from the weight store are limited
     * @param loadOvershoot factor by which they may pass its rate
     */
    public ResidencyDuty(
            String self,
            ResidencyOrders orders,
            Supplier<FleetConfig> config,
            Supplier<FleetView> fleet,
            Supplier<Optional<PlacementRight>> right,
            IntSupplier nodes,
            ControlThread control,
            MonotonicClock clock,
            double loadWindowSeconds,
            double loadOvershoot,
            Consumer<String> orderCounter) {
        this.self = self;
        this.orders = orders;
        this.config = config;
        this.fleet = fleet;
        this.right = right;
        this.nodes = nodes;
        this.control = control;
        this.clock = clock;
        this.orderCounter = orderCounter;
        this.demand = new DemandBoard(clock);
        this.planner = new ResidencyPlanner(ResidencyPlanner.Settings.DEFAULT);
        this.ceiling = new LoadCeiling(clock, loadWindowSeconds, loadOvershoot);
    }

    /** Starts to look at the runners at intervals. */
    public void start() {
        control.schedule(TICK_MILLIS, this::tick);
    }

    /**
     * Takes a node's report: it holds this node for the one that gives orders, and has seen some demand.
     *
     * @param history what it has seen before it knew that; empty in later reports
     */
    public void onReport(String node, List<ResidencyMessages.Demand> entries, List<ResidencyMessages.Rate> history) {
        reportedAtMillis.put(node, clock.millis());
        demand.add(entries);
        demand.addHistory(history);
    }

    /** Returns the changes of the last seconds, for the nodes' choice of runners. */
    public List<ResidencyMessages.Change> changes() {
        long nowMillis = clock.millis();
        announced.values().removeIf(entry -> nowMillis - entry.atMillis() > ANNOUNCE_MILLIS);
        return announced.values().stream().map(Announced::change).toList();
    }

    private void announce(ServerEntry runner, String model, String adapter, boolean present) {
        ResidencyMessages.Change change = new ResidencyMessages.Change(runner.id(), model, adapter, present);
        announced.put(key(key(runner.id(), model), adapter), new Announced(change, clock.millis()));
    }

    /** Sees to it that a runner holds a model or adapter, and completes with the runner's id, or with an empty one. */
    public CompletionStage<ResidencyMessages.Held> want(ResidencyMessages.Want want) {
        if (usableRight().isEmpty()) {
            return CompletableFuture.completedFuture(ResidencyMessages.Held.NOBODY);
        }
        demand.addWanted(want.service(), want.model(), WANT_WORK_MILLIS);
        if (want.adapter().isEmpty()) {
            if (clock.millis() - plannedAtMillis >= WANT_PLAN_MILLIS) {
                tickNow();
            }
            return CompletableFuture.completedFuture(new ResidencyMessages.Held("", readyInMillis(want)));
        }
        return wantAdapter(want);
    }

    /** Returns the time until a model should be there; negative if there is no such model. */
    private long readyInMillis(ResidencyMessages.Want want) {
        long nowMillis = clock.millis();
        for (RunnerWork work : works.values()) {
            if (work.ledger.serves(want.model())) {
                return 0;
            }
            if (work.ledger.holdsOrLoads(want.model())) {
                return Math.max(0, work.ledger.busyUntilMillis() - nowMillis) + REPORT_RETRY_MILLIS;
            }
        }
        ModelSpec model = engine(want.service())
                .map(engine -> engine.models().get(want.model()))
                .orElse(null);
        if (model == null) {
            return -1;
        }
        boolean atHand = works.values().stream().anyMatch(work -> work.ledger.hasCopy(want.model()));
        double loadSeconds = atHand ? model.diskSeconds() : model.loadSeconds();
        boolean roomIsMade =
                works.values().stream().anyMatch(work -> work.reservedFor().equals(want.model()));
        long planMillis = roomIsMade ? 0 : PLAN_MILLIS;
        return planMillis + RETIRE_MILLIS + UNLOAD_MILLIS + (long) (loadSeconds * 1_000);
    }

    private CompletionStage<ResidencyMessages.Held> wantAdapter(ResidencyMessages.Want want) {
        demand.adapterUsed(want.model(), want.adapter());
        Optional<EngineSpec> engine = engine(want.service());
        if (engine.isEmpty()) {
            return CompletableFuture.completedFuture(ResidencyMessages.Held.NOBODY);
        }
        refreshWorks();
        List<RunnerWork> serving = works.values().stream()
                .filter(work -> work.entry.service().equals(want.service())
                        && work.ledger.known()
                        && work.ledger.serves(want.model()))
                .toList();
        for (RunnerWork work : serving) {
            if (work.ledger.holdsAdapter(want.model(), want.adapter())) {
                return CompletableFuture.completedFuture(new ResidencyMessages.Held(work.entry.id(), 0));
            }
            if (work.pending.containsKey(key(want.model(), want.adapter()))) {
                return work.pending.get(key(want.model(), want.adapter()));
            }
        }
        Optional<RunnerWork> least = serving.stream()
                .filter(work -> !work.ledger.busy())
                .filter(work -> work.hasPlaceFor(engine.get()))
                .min(Comparator.comparingInt((RunnerWork work) -> work.ledger.adapterCount() + work.pending.size())
                        .thenComparing(work -> work.entry.id()));
        return least.map(work -> work.loadAdapter(engine.get(), want))
                .orElseGet(() -> CompletableFuture.completedFuture(
                        new ResidencyMessages.Held("", adapterReadyInMillis(serving))));
    }

    /** A runner that carries out another order takes adapters afterwards. */
    private long adapterReadyInMillis(List<RunnerWork> serving) {
        long nowMillis = clock.millis();
        return serving.stream()
                .filter(work -> work.ledger.busy())
                .mapToLong(work -> Math.max(CONFLICT_RETRY_MILLIS, work.ledger.busyUntilMillis() - nowMillis))
                .min()
                .orElse(-1);
    }

    private Optional<PlacementRight> usableRight() {
        return right.get()
                .filter(present -> present.token() > refusedToken)
                .filter(present -> present.confirmed() || mostNodesReport());
    }

    /** Nodes that reach the store report to the successor as soon as there is one. */
    private boolean mostNodesReport() {
        long nowMillis = clock.millis();
        long missedMillis = ReportPace.missedMillis(nodes.getAsInt());
        reportedAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > missedMillis);
        return 2 * reportedAtMillis.size() > nodes.getAsInt();
    }

    private void tick() {
        try {
            tickNow();
        } finally {
            control.schedule(TICK_MILLIS, this::tick);
        }
    }

    private void tickNow() {
        boolean mayAct = usableRight().isPresent();
        if (mayAct && !acting) {
            // What the former holder has ordered is not known here.
            works.clear();
            ceiling.drain();
        }
        acting = mayAct;
        plannedAtMillis = clock.millis();
        if (!acting) {
            return;
        }
        refreshWorks();
        for (Map.Entry<String, ServiceSpec> service : config.get().services().entrySet()) {
            service.getValue().engine().ifPresent(engine -> planService(service.getKey(), engine));
        }
    }

    private void planService(String service, EngineSpec engine) {
        ceiling.rate(engine.loadsPerSecond());
        List<ResidencyPlanner.Runner> runners = new ArrayList<>();
        for (ServerEntry entry : fleet.get().servers(service)) {
            RunnerWork work = works.get(entry.id());
            work.refreshReport();
            runners.add(work.planned());
        }
        if (runners.isEmpty()) {
            return;
        }
        Map<String, ResidencyPlanner.Work> workByModel = new HashMap<>();
        for (String model : engine.models().keySet()) {
            workByModel.put(model, demand.work(service, model));
        }
        planner.plan(engine, runners, workByModel, storeLoads()).forEach(planned -> carryOut(engine, planned));
    }

    /** Another node may be using the ceiling up while the right is not confirmed. */
    private int storeLoads() {
        return usableRight().filter(PlacementRight::confirmed).isPresent() ? ceiling.available() : 0;
    }

    private void carryOut(EngineSpec engine, ResidencyPlanner.Planned planned) {
        log.info(
                "event=placement_planned runner={} order=\"{}\" {}",
                planned.runner(),
                planned.order(),
                planned.reason());
        RunnerWork work = works.get(planned.runner());
        if (planned.order().action() == ResidencyOrder.Action.LOAD) {
            work.submit(engine, planned.order(), new CompletableFuture<>());
            return;
        }
        work.reserve(planned.roomFor());
        announce(work.entry, planned.order().model(), "", false);
        work.retiring = true;
        control.schedule(RETIRE_MILLIS, () -> {
            work.retiring = false;
            work.submit(engine, planned.order(), new CompletableFuture<>());
        });
    }

    private void refreshWorks() {
        Set<String> present = new HashSet<>();
        fleet.get()
                .byService()
                .values()
                .forEach(servers -> servers.forEach(entry -> {
                    present.add(entry.id());
                    RunnerWork work = works.get(entry.id());
                    if (work == null || work.ledger.bornMillis() != entry.bornMillis()) {
                        works.put(entry.id(), new RunnerWork(entry));
                    } else {
                        work.onEntry(entry);
                    }
                }));
        works.keySet().retainAll(present);
    }

    private Optional<EngineSpec> engine(String service) {
        ServiceSpec spec = config.get().services().get(service);
        return spec == null ? Optional.empty() : spec.engine();
    }

    private static String key(String first, String second) {
        return first + '/' + second;
    }

    /** The orders for one runner's process. */
    private final class RunnerWork {
        private final RunnerLedger ledger;
        private final ArrayDeque<Task> queue = new ArrayDeque<>();
        private final Map<String, CompletableFuture<ResidencyMessages.Held>> pending = new HashMap<>();
        private ServerEntry entry;
        private boolean inFlight;
        private boolean retiring;
        private String reserved = "";
        private long reservedUntilMillis = Long.MIN_VALUE;
        private boolean reading;
        private long readAtMillis = Long.MIN_VALUE / 2;

        private record Task(
                EngineSpec engine, ResidencyOrder order, CompletableFuture<Boolean> done, long untilMillis) {}

        private RunnerWork(ServerEntry entry) {
            this.entry = entry;
            this.ledger = new RunnerLedger(entry);
        }

        private void onEntry(ServerEntry newer) {
            if (newer != entry) {
                entry = newer;
                ledger.onEntry(newer);
            }
        }

        private void reserve(String model) {
            reserved = model;
            reservedUntilMillis = clock.millis() + ROOM_MILLIS;
        }

        /** Returns the model for which room is being made; empty if none is. */
        private String reservedFor() {
            boolean over = clock.millis() >= reservedUntilMillis || ledger.holdsOrLoads(reserved);
            return over ? "" : reserved;
        }

        private ResidencyPlanner.Runner planned() {
            long busyForMillis = Math.max(0, ledger.busyUntilMillis() - clock.millis());
            return new ResidencyPlanner.Runner(entry.id(), ledger, occupied(), busyForMillis, reservedFor());
        }

        private boolean occupied() {
            return !ledger.known() || ledger.busy() || inFlight || retiring || !queue.isEmpty();
        }

        /** Reads a report while the runner's state is in doubt, or once an order should be done. */
        private void refreshReport() {
            long nowMillis = clock.millis();
            boolean due = !ledger.known() || (ledger.busy() && nowMillis >= ledger.busyUntilMillis());
            if (!due || reading || inFlight || nowMillis - readAtMillis < REPORT_RETRY_MILLIS) {
                return;
            }
            reading = true;
            readAtMillis = nowMillis;
            orders.report(entry)
                    .whenComplete((report, failure) -> control.execute(() -> {
                        reading = false;
                        if (failure != null) {
                            log.info("event=report_failed runner={} cause={}", entry.id(), failure.toString());
                            return;
                        }
                        if (report.bornMillis() != 0 && report.bornMillis() != ledger.bornMillis()) {
                            log.info("event=report_ignored runner={} reason=other_process", entry.id());
                            return;
                        }
                        onReport(report);
                        pump();
                    }));
        }

        private void onReport(RunnerReport report) {
            Set<String> served = servedModels();
            if (!ledger.onReport(report)) {
                return;
            }
            servedModels().stream()
                    .filter(model -> !served.contains(model))
                    .forEach(model -> announce(entry, model, "", true));
        }

        private Set<String> servedModels() {
            Set<String> served = new HashSet<>(ledger.models());
            served.removeIf(model -> !ledger.serves(model));
            return served;
        }

        private CompletionStage<ResidencyMessages.Held> loadAdapter(EngineSpec engine, ResidencyMessages.Want want) {
            CompletableFuture<ResidencyMessages.Held> result = new CompletableFuture<>();
            String name = key(want.model(), want.adapter());
            pending.put(name, result);
            if (ledger.adapterCount() + pending.size() > engine.adapterPlaces()) {
                oldestAdapter().ifPresent(drop -> {
                    announce(entry, drop.model(), drop.adapter(), false);
                    submit(engine, drop, new CompletableFuture<>());
                });
            }
            CompletableFuture<Boolean> loaded = new CompletableFuture<>();
            submit(engine, new ResidencyOrder(ResidencyOrder.Action.LOAD, want.model(), want.adapter()), loaded);
            loaded.whenComplete((done, failure) -> {
                pending.remove(name);
                boolean held = failure == null && done;
                result.complete(held ? new ResidencyMessages.Held(entry.id(), 0) : ResidencyMessages.Held.NOBODY);
            });
            return result;
        }

        private boolean hasPlaceFor(EngineSpec engine) {
            return ledger.adapterCount() + pending.size() < engine.adapterPlaces()
                    || oldestAdapter().isPresent();
        }

        /** The adapter that was asked for least lately; one that may be in use is not given up. */
        private Optional<ResidencyOrder> oldestAdapter() {
            ResidencyOrder oldest = null;
            // Nodes name the adapters that their requests use in each report.
            long oldestMillis = clock.millis() - ReportPace.missedMillis(nodes.getAsInt());
            for (String model : ledger.models()) {
                for (String adapter : ledger.adapters(model)) {
                    long usedMillis = demand.adapterUsedAtMillis(model, adapter);
                    boolean wanted = pending.containsKey(key(model, adapter));
                    if (!wanted && usedMillis < oldestMillis) {
                        oldest = new ResidencyOrder(ResidencyOrder.Action.UNLOAD, model, adapter);
                        oldestMillis = usedMillis;
                    }
                }
            }
            return Optional.ofNullable(oldest);
        }

        private void submit(EngineSpec engine, ResidencyOrder order, CompletableFuture<Boolean> done) {
            queue.add(new Task(engine, order, done, clock.millis() + WANT_MILLIS));
            pump();
        }

        private void pump() {
            dropExpired();
            Optional<PlacementRight> usable = usableRight();
            if (inFlight || queue.isEmpty() || !ledger.known() || usable.isEmpty()) {
                return;
            }
            Task task = queue.poll();
            if (!ledger.fits(task.order(), task.engine())) {
                log.info("event=order_withheld runner={} order=\"{}\" reason=no_room", entry.id(), task.order());
                task.done().complete(false);
                pump();
                return;
            }
            boolean storeLoad = task.order().action() == ResidencyOrder.Action.LOAD
                    && !task.order().forAdapter()
                    && !ledger.hasCopy(task.order().model());
            if (storeLoad) {
                ceiling.take();
            }
            inFlight = true;
            long expected = ledger.ordersAccepted();
            long token = usable.get().token();
            orders.order(entry, task.order(), expected, self, token)
                    .whenComplete(
                            (reply, failure) -> control.execute(() -> onReply(task, expected, token, reply, failure)));
        }

        private void dropExpired() {
            long nowMillis = clock.millis();
            queue.removeIf(task -> {
                boolean expired = nowMillis > task.untilMillis();
                if (expired) {
                    task.done().complete(false);
                }
                return expired;
            });
        }

        private void onReply(Task task, long expected, long token, ResidencyOrders.Reply reply, Throwable failure) {
            inFlight = false;
            String outcome = failure == null ? reply.name() : "NO_ANSWER";
            orderCounter.accept(outcome);
            log.info(
                    "event=order runner={} order=\"{}\" expected_orders={} token={} reply={} cause={}",
                    entry.id(),
                    task.order(),
                    expected,
                    token,
                    outcome,
                    failure == null ? "-" : failure.toString());
            if (failure != null) {
                ledger.onDoubt();
                task.done().complete(false);
                return;
            }
            switch (reply) {
                case ACCEPTED -> onAccepted(task);
                case HOLDS -> {
                    ledger.onHolds(task.order());
                    task.done().complete(true);
                    refreshReport();
                }
                case FENCED -> {
                    refusedToken = token;
                    task.done().complete(false);
                }
                case CONFLICT -> onConflict(task);
                case INVALID, OTHER_SERVER -> {
                    ledger.onDoubt();
                    task.done().complete(false);
                }
            }
            pump();
        }

        /** A runner that carries out another order takes no adapter; its count of orders is then still the expected one. */
        private void onConflict(Task task) {
            boolean mayWait = task.order().forAdapter() && clock.millis() < task.untilMillis();
            if (!mayWait) {
                ledger.onDoubt();
                task.done().complete(false);
                return;
            }
            inFlight = true;
            control.schedule(CONFLICT_RETRY_MILLIS, () -> {
                inFlight = false;
                queue.addFirst(task);
                pump();
            });
        }

        private void onAccepted(Task task) {
            ResidencyOrder order = task.order();
            ModelSpec model = task.engine().models().get(order.model());
            double seconds = order.action() == ResidencyOrder.Action.LOAD && !order.forAdapter()
                    ? (ledger.hasCopy(order.model()) ? model.diskSeconds() : model.loadSeconds())
                    : 0;
            ledger.onAccepted(order, clock.millis() + (long) (seconds * 1_000) + LOAD_SLACK_MILLIS);
            // Until the adapter has arrived, the runner refuses the requests that need it.
            control.schedule(ADAPTER_LOAD_MILLIS, () -> task.done().complete(true));
        }
    }
}
