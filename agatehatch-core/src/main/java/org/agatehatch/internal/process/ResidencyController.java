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
public final class ResidencyController {
    private static final Logger log = LoggerFactory.getLogger(ResidencyController.class);

    private static final long PLANNING_INTERVAL_MILLIS = 250;

    /** Shortest time between two plans that requests for absent models ask for; a plan looks at all models and runners. */
    private static final long MIN_ON_DEMAND_PLANNING_INTERVAL_MILLIS = 50;

    /** Time after which a report is read again. Reports lag some hundred milliseconds behind. */
    private static final long REPORT_RETRY_MILLIS = 250;

    /** Work that a request for an absent model counts as; its real work is counted once it is sent. */
    private static final double UNSERVED_REQUEST_WORK_MILLIS = 15;

    /** Time for which an adapter is wanted; requests wait no longer. */
    private static final long ORDER_QUEUE_TIMEOUT_MILLIS = 400;

    /** Time of an adapter's load; the users' sheets state 5 to 9.7 ms. */
    private static final long ADAPTER_LOAD_MILLIS = 11;

    /** Time between telling the nodes that a model leaves a runner and the order, so that no request is refused for it. */
    private static final long UNLOAD_NOTICE_MILLIS = 400;

    /** Time for which changes are told to the nodes; their view of the runners' entries is younger than that. */
    private static final long CHANGE_RETENTION_MILLIS = 2_200;

    /** Time that an unload usually takes: the rest of the runs that need the model. */
    private static final long EXPECTED_UNLOAD_MILLIS = 500;

    /** Time until a runner is found for a model that has just been asked for. */
    private static final long EXPECTED_PLANNING_MILLIS = 600;

    /** Time within which room that is being made for a model should be there. */
    private static final long RESERVATION_TIMEOUT_MILLIS = 4_000;

    /** Pause before an adapter's order is repeated at a runner that carries out another one. */
    private static final long CONFLICT_RETRY_MILLIS = 100;

    /** Added to a model's load time before its runner is asked whether it is done. */
    private static final long LOAD_SLACK_MILLIS = 100;

    private final String self;
    private final ResidencyOrders orders;
    private final Supplier<FleetConfig> config;
    private final Supplier<FleetView> fleet;
    private final Supplier<Optional<PlacementGrant>> grant;
    private final IntSupplier nodeCount;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final Consumer<String> orderCounter;
    private final ResidencyPlanner planner;
    private final StoreLoadLimiter storeLoadLimiter;
    private final Map<String, RunnerOrderQueue> orderQueues = new HashMap<>();
    private final DemandAggregator demand;
    private final Map<String, Long> lastReportMillisByNode = new HashMap<>();
    private final Map<String, TimedChange> recentChanges = new LinkedHashMap<>();
    private boolean active;
    private long fencedToken = -1;
    private long lastPlanMillis;

    private record TimedChange(ResidencyMessages.ResidencyChange change, long atMillis) {}

    /**
     * Creates a duty that is not held.
     *
     * @param right gives this node's right to give orders
     * @param nodes number of nodes in the group
     * @param loadWindowSeconds span in which the loads from the weight store are limited
     * @param loadOvershoot factor by which they may pass its rate
     */
    public ResidencyController(
            String self,
            ResidencyOrders orders,
            Supplier<FleetConfig> config,
            Supplier<FleetView> fleet,
            Supplier<Optional<PlacementGrant>> grant,
            IntSupplier nodeCount,
            ControlThread control,
            MonotonicClock clock,
            double loadWindowSeconds,
            double loadOvershoot,
            Consumer<String> orderCounter) {
        this.self = self;
        this.orders = orders;
        this.config = config;
        this.fleet = fleet;
        this.grant = grant;
        this.nodeCount = nodeCount;
        this.control = control;
        this.clock = clock;
        this.orderCounter = orderCounter;
        this.demand = new DemandAggregator(clock);
        this.planner = new ResidencyPlanner(ResidencyPlanner.Settings.DEFAULT);
        this.storeLoadLimiter = new StoreLoadLimiter(clock, loadWindowSeconds, loadOvershoot);
    }

    /** Starts to look at the runners at intervals. */
    public void start() {
        control.schedule(PLANNING_INTERVAL_MILLIS, this::planPeriodically);
    }

    /**
     * Takes a node's report: it holds this node for the one that gives orders, and has seen some demand.
     *
     * @param history what it has seen before it knew that; empty in later reports
     */
    public void onReport(String node, List<ResidencyMessages.Demand> entries, List<ResidencyMessages.DemandAverages> history) {
        lastReportMillisByNode.put(node, clock.millis());
        demand.add(entries);
        demand.addHistory(history);
    }

    /** Returns the changes of the last seconds, for the nodes' choice of runners. */
    public List<ResidencyMessages.ResidencyChange> recentChanges() {
        long nowMillis = clock.millis();
        recentChanges.values().removeIf(entry -> nowMillis - entry.atMillis() > CHANGE_RETENTION_MILLIS);
        return recentChanges.values().stream().map(TimedChange::change).toList();
    }

    private void recordChange(ServerEntry runner, String model, String adapter, boolean present) {
        ResidencyMessages.ResidencyChange change = new ResidencyMessages.ResidencyChange(runner.id(), model, adapter, present);
        recentChanges.put(key(key(runner.id(), model), adapter), new TimedChange(change, clock.millis()));
    }

    /** Sees to it that a runner holds a model or adapter, and completes with the runner's id, or with an empty one. */
    public CompletionStage<ResidencyMessages.ResidencyReply> requestResidency(ResidencyMessages.ResidencyRequest request) {
        if (usableGrant().isEmpty()) {
            return CompletableFuture.completedFuture(ResidencyMessages.ResidencyReply.UNAVAILABLE);
        }
        demand.addUnservedRequest(request.service(), request.model(), UNSERVED_REQUEST_WORK_MILLIS);
        if (request.adapter().isEmpty()) {
            if (clock.millis() - lastPlanMillis >= MIN_ON_DEMAND_PLANNING_INTERVAL_MILLIS) {
                planNow();
            }
            return CompletableFuture.completedFuture(new ResidencyMessages.ResidencyReply("", readyInMillis(request)));
        }
        return requestAdapter(request);
    }

    /** Returns the time until a model should be there; negative if there is no such model. */
    private long readyInMillis(ResidencyMessages.ResidencyRequest request) {
        long nowMillis = clock.millis();
        for (RunnerOrderQueue runnerQueue : orderQueues.values()) {
            if (runnerQueue.ledger.serves(request.model())) {
                return 0;
            }
            if (runnerQueue.ledger.holdsOrLoads(request.model())) {
                return Math.max(0, runnerQueue.ledger.busyUntilMillis() - nowMillis) + REPORT_RETRY_MILLIS;
            }
        }
        ModelSpec model = engine(request.service())
                .map(engine -> engine.models().get(request.model()))
                .orElse(null);
        if (model == null) {
            return -1;
        }
        boolean cachedLocally = orderQueues.values().stream().anyMatch(runnerQueue -> runnerQueue.ledger.hasLocalCopy(request.model()));
        double loadSeconds = cachedLocally ? model.diskSeconds() : model.loadSeconds();
        boolean roomReserved =
                orderQueues.values().stream().anyMatch(runnerQueue -> runnerQueue.reservedFor().equals(request.model()));
        long planMillis = roomReserved ? 0 : EXPECTED_PLANNING_MILLIS;
        return planMillis + UNLOAD_NOTICE_MILLIS + EXPECTED_UNLOAD_MILLIS + (long) (loadSeconds * 1_000);
    }

    private CompletionStage<ResidencyMessages.ResidencyReply> requestAdapter(ResidencyMessages.ResidencyRequest request) {
        demand.recordAdapterUse(request.model(), request.adapter());
        Optional<EngineSpec> engine = engine(request.service());
        if (engine.isEmpty()) {
            return CompletableFuture.completedFuture(ResidencyMessages.ResidencyReply.UNAVAILABLE);
        }
        refreshQueues();
        List<RunnerOrderQueue> serving = orderQueues.values().stream()
                .filter(runnerQueue -> runnerQueue.entry.service().equals(request.service())
                        && runnerQueue.ledger.isKnown()
                        && runnerQueue.ledger.serves(request.model()))
                .toList();
        for (RunnerOrderQueue runnerQueue : serving) {
            if (runnerQueue.ledger.holdsAdapter(request.model(), request.adapter())) {
                return CompletableFuture.completedFuture(new ResidencyMessages.ResidencyReply(runnerQueue.entry.id(), 0));
            }
            if (runnerQueue.pendingAdapters.containsKey(key(request.model(), request.adapter()))) {
                return runnerQueue.pendingAdapters.get(key(request.model(), request.adapter()));
            }
        }
        Optional<RunnerOrderQueue> leastLoaded = serving.stream()
                .filter(runnerQueue -> !runnerQueue.ledger.busy())
                .filter(runnerQueue -> runnerQueue.hasAdapterSlot(engine.get()))
                .min(Comparator.comparingInt((RunnerOrderQueue runnerQueue) -> runnerQueue.ledger.adapterCount() + runnerQueue.pendingAdapters.size())
                        .thenComparing(runnerQueue -> runnerQueue.entry.id()));
        return leastLoaded.map(runnerQueue -> runnerQueue.loadAdapter(engine.get(), request))
                .orElseGet(() -> CompletableFuture.completedFuture(
                        new ResidencyMessages.ResidencyReply("", adapterReadyInMillis(serving))));
    }

    /** A runner that carries out another order takes adapters afterwards. */
    private long adapterReadyInMillis(List<RunnerOrderQueue> serving) {
        long nowMillis = clock.millis();
        return serving.stream()
                .filter(runnerQueue -> runnerQueue.ledger.busy())
                .mapToLong(runnerQueue -> Math.max(CONFLICT_RETRY_MILLIS, runnerQueue.ledger.busyUntilMillis() - nowMillis))
                .min()
                .orElse(-1);
    }

    private Optional<PlacementGrant> usableGrant() {
        return grant.get()
                .filter(present -> present.token() > fencedToken)
                .filter(present -> present.confirmed() || majorityReports());
    }

    /** Nodes that reach the store report to the successor as soon as there is one. */
    private boolean majorityReports() {
        long nowMillis = clock.millis();
        long missedMillis = ReportIntervals.missedAfterMillis(nodeCount.getAsInt());
        lastReportMillisByNode.values().removeIf(atMillis -> nowMillis - atMillis > missedMillis);
        return 2 * lastReportMillisByNode.size() > nodeCount.getAsInt();
    }

    private void planPeriodically() {
        try {
            planNow();
        } finally {
            control.schedule(PLANNING_INTERVAL_MILLIS, this::planPeriodically);
        }
    }

    private void planNow() {
        boolean mayAct = usableGrant().isPresent();
        if (mayAct && !active) {
            // What the former holder has ordered is not known here.
            orderQueues.clear();
            storeLoadLimiter.clear();
        }
        active = mayAct;
        lastPlanMillis = clock.millis();
        if (!active) {
            return;
        }
        refreshQueues();
        for (Map.Entry<String, ServiceSpec> service : config.get().services().entrySet()) {
            service.getValue().engine().ifPresent(engine -> planService(service.getKey(), engine));
        }
    }

    private void planService(String service, EngineSpec engine) {
        storeLoadLimiter.setLoadsPerSecond(engine.loadsPerSecond());
        List<ResidencyPlanner.Runner> runners = new ArrayList<>();
        for (ServerEntry entry : fleet.get().servers(service)) {
            RunnerOrderQueue runnerQueue = orderQueues.get(entry.id());
            runnerQueue.refreshReport();
            runners.add(runnerQueue.plannerInput());
        }
        if (runners.isEmpty()) {
            return;
        }
        Map<String, ResidencyPlanner.WorkRate> workByModel = new HashMap<>();
        for (String model : engine.models().keySet()) {
            workByModel.put(model, demand.workRate(service, model));
        }
        planner.plan(engine, runners, workByModel, allowedStoreLoads()).forEach(planned -> execute(engine, planned));
    }

    /** Another node may be using the ceiling up while the right is not confirmed. */
    private int allowedStoreLoads() {
        return usableGrant().filter(PlacementGrant::confirmed).isPresent() ? storeLoadLimiter.availableLoads() : 0;
    }

    private void execute(EngineSpec engine, ResidencyPlanner.PlannedOrder planned) {
        log.info(
                "event=placement_planned runner={} order=\"{}\" {}",
                planned.runner(),
                planned.order(),
                planned.reason());
        RunnerOrderQueue runnerQueue = orderQueues.get(planned.runner());
        if (planned.order().action() == ResidencyOrder.Action.LOAD) {
            runnerQueue.submit(engine, planned.order(), new CompletableFuture<>());
            return;
        }
        runnerQueue.reserve(planned.makesRoomFor());
        recordChange(runnerQueue.entry, planned.order().model(), "", false);
        runnerQueue.unloadAnnounced = true;
        control.schedule(UNLOAD_NOTICE_MILLIS, () -> {
            runnerQueue.unloadAnnounced = false;
            runnerQueue.submit(engine, planned.order(), new CompletableFuture<>());
        });
    }

    private void refreshQueues() {
        Set<String> present = new HashSet<>();
        fleet.get()
                .byService()
                .values()
                .forEach(servers -> servers.forEach(entry -> {
                    present.add(entry.id());
                    RunnerOrderQueue runnerQueue = orderQueues.get(entry.id());
                    if (runnerQueue == null || runnerQueue.ledger.startedAtMillis() != entry.startedAtMillis()) {
                        orderQueues.put(entry.id(), new RunnerOrderQueue(entry));
                    } else {
                        runnerQueue.onEntry(entry);
                    }
                }));
        orderQueues.keySet().retainAll(present);
    }

    private Optional<EngineSpec> engine(String service) {
        ServiceSpec spec = config.get().services().get(service);
        return spec == null ? Optional.empty() : spec.engine();
    }

    private static String key(String first, String second) {
        return first + '/' + second;
    }

    /** The orders for one runner's process. */
    private final class RunnerOrderQueue {
        private final RunnerLedger ledger;
        private final ArrayDeque<QueuedOrder> queue = new ArrayDeque<>();
        private final Map<String, CompletableFuture<ResidencyMessages.ResidencyReply>> pendingAdapters = new HashMap<>();
        private ServerEntry entry;
        private boolean orderInFlight;
        private boolean unloadAnnounced;
        private String reservedModel = "";
        private long reservedUntilMillis = Long.MIN_VALUE;
        private boolean reportInFlight;
        private long lastReportReadMillis = Long.MIN_VALUE / 2;

        private record QueuedOrder(
                EngineSpec engine, ResidencyOrder order, CompletableFuture<Boolean> result, long expiresAtMillis) {}

        private RunnerOrderQueue(ServerEntry entry) {
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
            reservedModel = model;
            reservedUntilMillis = clock.millis() + RESERVATION_TIMEOUT_MILLIS;
        }

        /** Returns the model for which room is being made; empty if none is. */
        private String reservedFor() {
            boolean released = clock.millis() >= reservedUntilMillis || ledger.holdsOrLoads(reservedModel);
            return released ? "" : reservedModel;
        }

        private ResidencyPlanner.Runner plannerInput() {
            long busyForMillis = Math.max(0, ledger.busyUntilMillis() - clock.millis());
            return new ResidencyPlanner.Runner(entry.id(), ledger, isBusy(), busyForMillis, reservedFor());
        }

        private boolean isBusy() {
            return !ledger.isKnown() || ledger.busy() || orderInFlight || unloadAnnounced || !queue.isEmpty();
        }

        /** Reads a report while the runner's state is in doubt, or once an order should be done. */
        private void refreshReport() {
            long nowMillis = clock.millis();
            boolean reportNeeded = !ledger.isKnown() || (ledger.busy() && nowMillis >= ledger.busyUntilMillis());
            if (!reportNeeded || reportInFlight || orderInFlight || nowMillis - lastReportReadMillis < REPORT_RETRY_MILLIS) {
                return;
            }
            reportInFlight = true;
            lastReportReadMillis = nowMillis;
            orders.report(entry)
                    .whenComplete((report, failure) -> control.execute(() -> {
                        reportInFlight = false;
                        if (failure != null) {
                            log.info("event=report_failed runner={} cause={}", entry.id(), failure.toString());
                            return;
                        }
                        if (report.startedAtMillis() != 0 && report.startedAtMillis() != ledger.startedAtMillis()) {
                            log.info("event=report_ignored runner={} reason=other_process", entry.id());
                            return;
                        }
                        onReport(report);
                        sendNext();
                    }));
        }

        private void onReport(RunnerReport report) {
            Set<String> served = servedModels();
            if (!ledger.onReport(report)) {
                return;
            }
            servedModels().stream()
                    .filter(model -> !served.contains(model))
                    .forEach(model -> recordChange(entry, model, "", true));
        }

        private Set<String> servedModels() {
            Set<String> served = new HashSet<>(ledger.models());
            served.removeIf(model -> !ledger.serves(model));
            return served;
        }

        private CompletionStage<ResidencyMessages.ResidencyReply> loadAdapter(EngineSpec engine, ResidencyMessages.ResidencyRequest request) {
            CompletableFuture<ResidencyMessages.ResidencyReply> result = new CompletableFuture<>();
            String name = key(request.model(), request.adapter());
            pendingAdapters.put(name, result);
            if (ledger.adapterCount() + pendingAdapters.size() > engine.adapterSlots()) {
                leastRecentlyUsedAdapter().ifPresent(evicted -> {
                    recordChange(entry, evicted.model(), evicted.adapter(), false);
                    submit(engine, evicted, new CompletableFuture<>());
                });
            }
            CompletableFuture<Boolean> loaded = new CompletableFuture<>();
            submit(engine, new ResidencyOrder(ResidencyOrder.Action.LOAD, request.model(), request.adapter()), loaded);
            loaded.whenComplete((done, failure) -> {
                pendingAdapters.remove(name);
                boolean held = failure == null && done;
                result.complete(held ? new ResidencyMessages.ResidencyReply(entry.id(), 0) : ResidencyMessages.ResidencyReply.UNAVAILABLE);
            });
            return result;
        }

        private boolean hasAdapterSlot(EngineSpec engine) {
            return ledger.adapterCount() + pendingAdapters.size() < engine.adapterSlots()
                    || leastRecentlyUsedAdapter().isPresent();
        }

        /** The adapter that was asked for least lately; one that may be in use is not given up. */
        private Optional<ResidencyOrder> leastRecentlyUsedAdapter() {
            ResidencyOrder candidate = null;
            // Nodes name the adapters that their requests use in each report.
            long lastUsedBeforeMillis = clock.millis() - ReportIntervals.missedAfterMillis(nodeCount.getAsInt());
            for (String model : ledger.models()) {
                for (String adapter : ledger.adapters(model)) {
                    long usedMillis = demand.adapterLastUsedMillis(model, adapter);
                    boolean loading = pendingAdapters.containsKey(key(model, adapter));
                    if (!loading && usedMillis < lastUsedBeforeMillis) {
                        candidate = new ResidencyOrder(ResidencyOrder.Action.UNLOAD, model, adapter);
                        lastUsedBeforeMillis = usedMillis;
                    }
                }
            }
            return Optional.ofNullable(candidate);
        }

        private void submit(EngineSpec engine, ResidencyOrder order, CompletableFuture<Boolean> done) {
            queue.add(new QueuedOrder(engine, order, done, clock.millis() + ORDER_QUEUE_TIMEOUT_MILLIS));
            sendNext();
        }

        private void sendNext() {
            expireQueued();
            Optional<PlacementGrant> usable = usableGrant();
            if (orderInFlight || queue.isEmpty() || !ledger.isKnown() || usable.isEmpty()) {
                return;
            }
            QueuedOrder task = queue.poll();
            if (!ledger.fits(task.order(), task.engine())) {
                log.info("event=order_withheld runner={} order=\"{}\" reason=no_room", entry.id(), task.order());
                task.result().complete(false);
                sendNext();
                return;
            }
            boolean storeLoad = task.order().action() == ResidencyOrder.Action.LOAD
                    && !task.order().forAdapter()
                    && !ledger.hasLocalCopy(task.order().model());
            if (storeLoad) {
                storeLoadLimiter.consume();
            }
            orderInFlight = true;
            long expectedOrders = ledger.ordersAccepted();
            long token = usable.get().token();
            orders.order(entry, task.order(), expectedOrders, self, token)
                    .whenComplete(
                            (reply, failure) -> control.execute(() -> onReply(task, expectedOrders, token, reply, failure)));
        }

        private void expireQueued() {
            long nowMillis = clock.millis();
            queue.removeIf(task -> {
                boolean expired = nowMillis > task.expiresAtMillis();
                if (expired) {
                    task.result().complete(false);
                }
                return expired;
            });
        }

        private void onReply(QueuedOrder task, long expectedOrders, long token, ResidencyOrders.Reply reply, Throwable failure) {
            orderInFlight = false;
            String outcome = failure == null ? reply.name() : "NO_ANSWER";
            orderCounter.accept(outcome);
            log.info(
                    "event=order runner={} order=\"{}\" expected_orders={} token={} reply={} cause={}",
                    entry.id(),
                    task.order(),
                    expectedOrders,
                    token,
                    outcome,
                    failure == null ? "-" : failure.toString());
            if (failure != null) {
                ledger.markUnknown();
                task.result().complete(false);
                return;
            }
            switch (reply) {
                case ACCEPTED -> onAccepted(task);
                case HOLDS -> {
                    ledger.onAlreadyDone(task.order());
                    task.result().complete(true);
                    refreshReport();
                }
                case FENCED -> {
                    fencedToken = token;
                    task.result().complete(false);
                }
                case CONFLICT -> onConflict(task);
                case INVALID, OTHER_SERVER -> {
                    ledger.markUnknown();
                    task.result().complete(false);
                }
            }
            sendNext();
        }

        /** A runner that carries out another order takes no adapter; its count of orders is then still the expected one. */
        private void onConflict(QueuedOrder task) {
            boolean mayRetry = task.order().forAdapter() && clock.millis() < task.expiresAtMillis();
            if (!mayRetry) {
                ledger.markUnknown();
                task.result().complete(false);
                return;
            }
            orderInFlight = true;
            control.schedule(CONFLICT_RETRY_MILLIS, () -> {
                orderInFlight = false;
                queue.addFirst(task);
                sendNext();
            });
        }

        private void onAccepted(QueuedOrder task) {
            ResidencyOrder order = task.order();
            ModelSpec model = task.engine().models().get(order.model());
            double seconds = order.action() == ResidencyOrder.Action.LOAD && !order.forAdapter()
                    ? (ledger.hasLocalCopy(order.model()) ? model.diskSeconds() : model.loadSeconds())
                    : 0;
            ledger.onAccepted(order, clock.millis() + (long) (seconds * 1_000) + LOAD_SLACK_MILLIS);
            // Until the adapter has arrived, the runner refuses the requests that need it.
            control.schedule(ADAPTER_LOAD_MILLIS, () -> task.result().complete(true));
        }
    }
}
