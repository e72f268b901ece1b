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
 * Sends load and unload orders to all runners while this node is the placement holder. A runner receives one order at a time.
 * Each order carries the expected count of orders that the runner has accepted, so that a delayed order is refused after a
 * newer one. Runs on the control thread.
 */
public final class ResidencyController {
    private static final Logger log = LoggerFactory.getLogger(ResidencyController.class);

    private static final long PLANNING_INTERVAL_MILLIS = 250;

    /** Minimum time between plans that requests for absent models trigger; a plan visits all models and runners. */
    private static final long MIN_ON_DEMAND_PLANNING_INTERVAL_MILLIS = 50;

    /** Minimum time between two reads of a runner's report. Reports lag some hundred milliseconds behind. */
    private static final long REPORT_RETRY_MILLIS = 250;

    /** Runner time that a request for an absent model counts as; its estimated work is counted when it is sent. */
    private static final double UNSERVED_REQUEST_WORK_MILLIS = 15;

    /** Time after which an unsent order is dropped; the requests that need an adapter wait no longer. */
    private static final long ORDER_QUEUE_TIMEOUT_MILLIS = 400;

    /** Time to load an adapter; the users' data sheets state 5 to 9.7 ms. */
    private static final long ADAPTER_LOAD_MILLIS = 11;

    /** Delay from the notice to the nodes that a model leaves a runner to the unload order, so that no request is refused. */
    private static final long UNLOAD_NOTICE_MILLIS = 400;

    /** Time for which changes are sent to the nodes; afterwards the nodes have newer entries of the runners. */
    private static final long CHANGE_RETENTION_MILLIS = 2_200;

    /** Usual time of an unload: it ends with the running requests that use the model. */
    private static final long EXPECTED_UNLOAD_MILLIS = 500;

    /** Usual time until the planner has found a runner for a newly requested model. */
    private static final long EXPECTED_PLANNING_MILLIS = 600;

    /** Time after which a runner is no longer reserved for the model for which it makes room. */
    private static final long RESERVATION_TIMEOUT_MILLIS = 4_000;

    /** Usual time until the last request of one of a runner's adapters has ended, so that its slot can be used. */
    private static final long SLOT_WAIT_MILLIS = 250;

    /** Margin on a node's report interval after which an adapter that its reports did not name is not in use. */
    private static final long ADAPTER_REPORT_DELAY_MILLIS = 150;

    /** Delay before an adapter order is sent again to a runner that executes another order. */
    private static final long CONFLICT_RETRY_MILLIS = 100;

    /** Time for which a load is sent again to a runner that still unloads another model; afterwards its report is read. */
    private static final long UNLOAD_TIMEOUT_MILLIS = 3_000;

    /** Time for which a new holder waits for the reports of most nodes, without which it would take all models for idle. */
    private static final long FIRST_REPORTS_MILLIS = 800;

    /** Margin on an order's expected duration before the runner's report is read to find out whether it is done. */
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
    private final Map<String, OrderQueue> orderQueues = new HashMap<>();
    private final DemandAggregator demand;
    private final Map<String, Long> lastReportMillisByNode = new HashMap<>();
    private final Map<String, TimedChange> recentChanges = new LinkedHashMap<>();
    private boolean active;
    private long activeSinceMillis;
    private long fencedToken = -1;
    private long lastPlanMillis;

    private record TimedChange(ResidencyMessages.Change change, long atMillis) {}

    /**
     * Creates a controller that is not active.
     *
     * @param grant this node's present grant; empty while it must not send orders
     * @param nodeCount number of nodes in the group
     * @param loadWindowSeconds span to which the weight store's limit on loads applies
     * @param loadOvershoot factor by which the loads in a span may exceed the weight store's rate
     * @param orderCounter receives the reply to each order, or {@code NO_ANSWER}
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

    /** Starts to plan periodically. */
    public void start() {
        control.schedule(PLANNING_INTERVAL_MILLIS, this::planPeriodically);
    }

    /**
     * Receives a report from a node that regards this one as the placement holder.
     *
     * @param entries demand that the node has seen since its last report
     * @param history average demand that the node has seen before it reported to this one; empty in later reports
     */
    public void onReport(
            String node, List<ResidencyMessages.Demand> entries, List<ResidencyMessages.DemandAverages> history) {
        lastReportMillisByNode.put(node, clock.millis());
        demand.add(entries);
        demand.addHistory(history);
    }

    /** Returns the residency changes of the last seconds, which the nodes need to choose runners. */
    public List<ResidencyMessages.Change> recentChanges() {
        long nowMillis = clock.millis();
        recentChanges.values().removeIf(entry -> nowMillis - entry.atMillis() > CHANGE_RETENTION_MILLIS);
        return recentChanges.values().stream().map(TimedChange::change).toList();
    }

    private void recordChange(ServerEntry runner, String model, String adapter, boolean present) {
        ResidencyMessages.Change change = new ResidencyMessages.Change(runner.id(), model, adapter, present);
        recentChanges.put(key(key(runner.id(), model), adapter), new TimedChange(change, clock.millis()));
    }

    /** Orders a missing model or adapter, and completes with the runner that holds it or the time until one should. */
    public CompletionStage<ResidencyMessages.Reply> requestResidency(ResidencyMessages.Request request) {
        if (usableGrant().isEmpty()) {
            return CompletableFuture.completedFuture(ResidencyMessages.Reply.UNAVAILABLE);
        }
        if (request.adapter().isEmpty()) {
            demand.addUnservedRequest(request.service(), request.model(), UNSERVED_REQUEST_WORK_MILLIS);
            if (clock.millis() - lastPlanMillis >= MIN_ON_DEMAND_PLANNING_INTERVAL_MILLIS) {
                planNow();
            }
            return CompletableFuture.completedFuture(new ResidencyMessages.Reply("", readyInMillis(request)));
        }
        return requestAdapter(request);
    }

    /** Returns the expected time until a runner serves a model; negative if the configuration has no such model. */
    private long readyInMillis(ResidencyMessages.Request request) {
        long nowMillis = clock.millis();
        for (OrderQueue queue : orderQueues.values()) {
            if (queue.ledger.serves(request.model())) {
                return 0;
            }
            if (queue.ledger.holdsOrLoads(request.model())) {
                return Math.max(0, queue.ledger.busyUntilMillis() - nowMillis) + REPORT_RETRY_MILLIS;
            }
        }
        ModelSpec model = engine(request.service())
                .map(engine -> engine.models().get(request.model()))
                .orElse(null);
        if (model == null) {
            return -1;
        }
        boolean cachedLocally =
                orderQueues.values().stream().anyMatch(queue -> queue.ledger.hasLocalCopy(request.model()));
        double loadSeconds = cachedLocally ? model.diskSeconds() : model.loadSeconds();
        boolean roomReserved = orderQueues.values().stream()
                .anyMatch(queue -> queue.reservedFor().equals(request.model()));
        long planMillis = roomReserved ? 0 : EXPECTED_PLANNING_MILLIS;
        return planMillis + UNLOAD_NOTICE_MILLIS + EXPECTED_UNLOAD_MILLIS + (long) (loadSeconds * 1_000);
    }

    private CompletionStage<ResidencyMessages.Reply> requestAdapter(ResidencyMessages.Request request) {
        demand.recordAdapterUse(request.model(), request.adapter());
        Optional<EngineSpec> engine = engine(request.service());
        if (engine.isEmpty()) {
            return CompletableFuture.completedFuture(ResidencyMessages.Reply.UNAVAILABLE);
        }
        refreshQueues();
        List<OrderQueue> serving = orderQueues.values().stream()
                .filter(queue -> queue.entry.service().equals(request.service())
                        && queue.ledger.isKnown()
                        && queue.ledger.serves(request.model()))
                .toList();
        for (OrderQueue queue : serving) {
            if (queue.ledger.holdsAdapter(request.model(), request.adapter())) {
                return CompletableFuture.completedFuture(new ResidencyMessages.Reply(queue.entry.id(), 0));
            }
            if (queue.pendingAdapters.containsKey(key(request.model(), request.adapter()))) {
                return queue.pendingAdapters.get(key(request.model(), request.adapter()));
            }
        }
        Optional<OrderQueue> leastLoaded = serving.stream()
                .filter(queue -> !queue.ledger.busy())
                .filter(queue -> queue.hasAdapterSlot(engine.get()))
                .min(Comparator.comparingInt(
                                (OrderQueue queue) -> queue.ledger.adapterCount() + queue.pendingAdapters.size())
                        .thenComparing(queue -> queue.entry.id()));
        return leastLoaded
                .map(queue -> queue.loadAdapter(engine.get(), request))
                .orElseGet(() -> CompletableFuture.completedFuture(
                        new ResidencyMessages.Reply("", adapterReadyInMillis(serving))));
    }

    /** Returns the expected time until a busy runner can load an adapter, or a slot is free; negative if no runner serves the model. */
    private long adapterReadyInMillis(List<OrderQueue> serving) {
        long nowMillis = clock.millis();
        return serving.stream()
                .filter(queue -> queue.ledger.busy())
                .mapToLong(queue -> Math.max(CONFLICT_RETRY_MILLIS, queue.ledger.busyUntilMillis() - nowMillis))
                .min()
                .orElse(serving.isEmpty() ? -1 : SLOT_WAIT_MILLIS);
    }

    private Optional<PlacementGrant> usableGrant() {
        return grant.get()
                .filter(present -> present.token() > fencedToken)
                .filter(present -> present.confirmed() || majorityReports());
    }

    /** Nodes that reach the store report to a new holder at once, so a majority that reports here knows of none. */
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
            // The orders and loads of the previous holder are not known to this node.
            orderQueues.clear();
            storeLoadLimiter.clear();
            activeSinceMillis = clock.millis();
        }
        active = mayAct;
        lastPlanMillis = clock.millis();
        if (!active) {
            return;
        }
        refreshQueues();
        if (clock.millis() - activeSinceMillis < FIRST_REPORTS_MILLIS && !majorityReports()) {
            return;
        }
        for (Map.Entry<String, ServiceSpec> service : config.get().services().entrySet()) {
            service.getValue().engine().ifPresent(engine -> planService(service.getKey(), engine));
        }
    }

    private void planService(String service, EngineSpec engine) {
        storeLoadLimiter.setLoadsPerSecond(engine.loadsPerSecond());
        List<ResidencyPlanner.Runner> runners = new ArrayList<>();
        for (ServerEntry entry : fleet.get().servers(service)) {
            OrderQueue queue = orderQueues.get(entry.id());
            queue.refreshReport();
            runners.add(queue.plannerInput());
        }
        if (runners.isEmpty()) {
            return;
        }
        Map<String, ResidencyPlanner.WorkRate> workByModel = new HashMap<>();
        double totalPerSecond = demand.totalPerSecond(service);
        for (String model : engine.models().keySet()) {
            workByModel.put(model, demand.workRate(service, model, totalPerSecond));
        }
        planner.plan(engine, runners, workByModel, allowedStoreLoads(), demand.isKnown())
                .forEach(planned -> execute(engine, planned));
    }

    /** Returns 0 while the grant is not confirmed, because another node may be using up the weight store's limit. */
    private int allowedStoreLoads() {
        return usableGrant().filter(PlacementGrant::confirmed).isPresent() ? storeLoadLimiter.availableLoads() : 0;
    }

    private void execute(EngineSpec engine, ResidencyPlanner.PlannedOrder planned) {
        log.info(
                "event=placement_planned runner={} order=\"{}\" {}",
                planned.runner(),
                planned.order(),
                planned.reason());
        OrderQueue queue = orderQueues.get(planned.runner());
        if (planned.order().action() == ResidencyOrder.Action.LOAD) {
            queue.submit(engine, planned.order(), new CompletableFuture<>());
            return;
        }
        queue.reserve(planned.makesRoomFor());
        recordChange(queue.entry, planned.order().model(), "", false);
        queue.unloadAnnounced = true;
        control.schedule(UNLOAD_NOTICE_MILLIS, () -> {
            queue.unloadAnnounced = false;
            queue.submit(engine, planned.order(), new CompletableFuture<>());
        });
    }

    private void refreshQueues() {
        Set<String> present = new HashSet<>();
        fleet.get()
                .byService()
                .values()
                .forEach(servers -> servers.forEach(entry -> {
                    present.add(entry.id());
                    OrderQueue queue = orderQueues.get(entry.id());
                    if (queue == null || queue.ledger.startedAtMillis() != entry.startedAtMillis()) {
                        orderQueues.put(entry.id(), new OrderQueue(entry));
                    } else {
                        queue.onEntry(entry);
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

    /** The queue of orders for one process of a runner. */
    private final class OrderQueue {
        private final RunnerLedger ledger;
        private final ArrayDeque<QueuedOrder> queue = new ArrayDeque<>();
        private final Map<String, CompletableFuture<ResidencyMessages.Reply>> pendingAdapters = new HashMap<>();
        private ServerEntry entry;
        private boolean orderInFlight;
        private boolean unloadAnnounced;
        private String reservedModel = "";
        private long reservedUntilMillis = Long.MIN_VALUE;
        private boolean reportInFlight;
        private long lastReportReadMillis = Long.MIN_VALUE / 2;

        /**
         * An order that waits for its turn.
         *
         * @param followsUnload whether the order is a load that the runner accepts once an unload in progress is carried out
         */
        private record QueuedOrder(
                EngineSpec engine,
                ResidencyOrder order,
                boolean followsUnload,
                CompletableFuture<Boolean> result,
                long expiresAtMillis) {}

        private OrderQueue(ServerEntry entry) {
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

        /** Returns the model for which the runner makes room; empty if there is none. */
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

        /** Reads the runner's report if its state is not known, or if the order in progress should be done by now. */
        private void refreshReport() {
            long nowMillis = clock.millis();
            boolean reportNeeded = !ledger.isKnown() || (ledger.busy() && nowMillis >= ledger.busyUntilMillis());
            if (!reportNeeded
                    || reportInFlight
                    || orderInFlight
                    || nowMillis - lastReportReadMillis < REPORT_RETRY_MILLIS) {
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
                        if (ledger.busy()) {
                            control.schedule(REPORT_RETRY_MILLIS, this::refreshReport);
                        }
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

        private CompletionStage<ResidencyMessages.Reply> loadAdapter(
                EngineSpec engine, ResidencyMessages.Request request) {
            CompletableFuture<ResidencyMessages.Reply> result = new CompletableFuture<>();
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
                result.complete(
                        held ? new ResidencyMessages.Reply(entry.id(), 0) : ResidencyMessages.Reply.UNAVAILABLE);
            });
            return result;
        }

        private boolean hasAdapterSlot(EngineSpec engine) {
            return ledger.adapterCount() + pendingAdapters.size() < engine.adapterSlots()
                    || leastRecentlyUsedAdapter().isPresent();
        }

        /** Returns an order to unload the least recently used adapter; empty if all of them may be in use. */
        private Optional<ResidencyOrder> leastRecentlyUsedAdapter() {
            ResidencyOrder candidate = null;
            // Each report names the adapters in use, so an adapter that no report names for longer than that is unused.
            long lastUsedBeforeMillis =
                    clock.millis() - ReportIntervals.intervalMillis(nodeCount.getAsInt()) - ADAPTER_REPORT_DELAY_MILLIS;
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
            queue.add(new QueuedOrder(engine, order, false, done, clock.millis() + ORDER_QUEUE_TIMEOUT_MILLIS));
            sendNext();
        }

        /**
         * Sends the load for which an unload makes room, again and again until the runner accepts it, since its report would
         * show the end of the unload some hundred milliseconds late.
         */
        private void loadAfterUnload(EngineSpec engine) {
            String model = reservedFor();
            ModelSpec spec = engine.models().get(model);
            boolean possible = spec != null
                    && ledger.freeMbAfterUnload(engine) >= planner.neededMb(spec)
                    && (ledger.hasLocalCopy(model) || allowedStoreLoads() > 0);
            if (!possible) {
                return;
            }
            if (!ledger.hasLocalCopy(model)) {
                storeLoadLimiter.consume();
            }
            QueuedOrder load = new QueuedOrder(
                    engine,
                    new ResidencyOrder(ResidencyOrder.Action.LOAD, model, ""),
                    true,
                    new CompletableFuture<>(),
                    clock.millis() + UNLOAD_TIMEOUT_MILLIS);
            sendAgainLater(load);
        }

        private void sendAgainLater(QueuedOrder task) {
            orderInFlight = true;
            control.schedule(CONFLICT_RETRY_MILLIS, () -> {
                orderInFlight = false;
                queue.addFirst(task);
                sendNext();
            });
        }

        private void sendNext() {
            expireQueued();
            Optional<PlacementGrant> usable = usableGrant();
            if (orderInFlight || queue.isEmpty() || !ledger.isKnown() || usable.isEmpty()) {
                return;
            }
            QueuedOrder task = queue.poll();
            if (!task.followsUnload() && !ledger.fits(task.order(), task.engine())) {
                log.info("event=order_withheld runner={} order=\"{}\" reason=no_room", entry.id(), task.order());
                task.result().complete(false);
                sendNext();
                return;
            }
            boolean storeLoad = task.order().action() == ResidencyOrder.Action.LOAD
                    && !task.order().forAdapter()
                    && !task.followsUnload()
                    && !ledger.hasLocalCopy(task.order().model());
            if (storeLoad) {
                storeLoadLimiter.consume();
            }
            orderInFlight = true;
            long expected = ledger.ordersAccepted();
            long token = usable.get().token();
            orders.order(entry, task.order(), expected, self, token)
                    .whenComplete(
                            (reply, failure) -> control.execute(() -> onReply(task, expected, token, reply, failure)));
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

        private void onReply(
                QueuedOrder task, long expected, long token, ResidencyOrders.Reply reply, Throwable failure) {
            orderInFlight = false;
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

        /** Retries an order: a runner that executes another one refuses it, and its count of orders stays the same. */
        private void onConflict(QueuedOrder task) {
            boolean mayRetry = (task.order().forAdapter() || task.followsUnload())
                    && clock.millis() + CONFLICT_RETRY_MILLIS < task.expiresAtMillis();
            if (!mayRetry) {
                ledger.markUnknown();
                task.result().complete(false);
                return;
            }
            sendAgainLater(task);
        }

        private void onAccepted(QueuedOrder task) {
            ResidencyOrder order = task.order();
            ModelSpec model = task.engine().models().get(order.model());
            double seconds = order.action() == ResidencyOrder.Action.LOAD && !order.forAdapter()
                    ? (ledger.hasLocalCopy(order.model()) ? model.diskSeconds() : model.loadSeconds())
                    : 0;
            long doneInMillis = (long) (seconds * 1_000) + LOAD_SLACK_MILLIS;
            ledger.onAccepted(order, clock.millis() + doneInMillis);
            if (!order.forAdapter()) {
                control.schedule(doneInMillis, this::refreshReport);
                if (order.action() == ResidencyOrder.Action.UNLOAD) {
                    loadAfterUnload(task.engine());
                }
            }
            // The runner refuses requests for an adapter until it is loaded.
            control.schedule(ADAPTER_LOAD_MILLIS, () -> task.result().complete(true));
        }
    }
}
