package org.agatehatch.internal.process;

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

    /** Runner time that a request for an absent model counts as; its estimated work is counted when it is sent. */
    private static final double UNSERVED_REQUEST_WORK_MILLIS = 15;

    /**
     * Minimum delay from the notice to the nodes that a model leaves a runner to the unload order, so that no request is refused.
     */
    private static final long MIN_UNLOAD_NOTICE_MILLIS = 400;

    /** Margin on the interval at which nodes learn of changes, for requests that are on their way. */
    private static final long UNLOAD_NOTICE_MARGIN_MILLIS = 150;

    /** Time for which changes are sent to the nodes; afterwards the nodes have newer entries of the runners. */
    private static final long CHANGE_RETENTION_MILLIS = 2_200;

    /** Usual time of an unload: it ends with the running requests that use the model. */
    private static final long EXPECTED_UNLOAD_MILLIS = 500;

    /** Usual time until the planner has found a runner for a newly requested model. */
    private static final long EXPECTED_PLANNING_MILLIS = 600;

    /** Usual time until the last request of one of a runner's adapters has ended, so that its slot can be used. */
    private static final long SLOT_WAIT_MILLIS = 250;

    /** Time for which a new holder waits for the reports of most nodes, without which it would take all models for idle. */
    private static final long FIRST_REPORTS_MILLIS = 800;

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
    private final UnansweredOrders unansweredOrders;
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
        this.unansweredOrders = new UnansweredOrders(clock);
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
            return CompletableFuture.completedFuture(servingRunner(request)
                    .map(runner -> new ResidencyMessages.Reply(runner, 0))
                    .orElseGet(() -> new ResidencyMessages.Reply("", readyInMillis(request))));
        }
        return requestAdapter(request);
    }

    /**
     * Returns a runner that serves a model. The asking node does not know it, or has been told that the model is about to leave
     * it, which is no reason to refuse a request while no other runner has it.
     */
    private Optional<String> servingRunner(ResidencyMessages.Request request) {
        return orderQueues.values().stream()
                .filter(queue ->
                        queue.entry.service().equals(request.service()) && queue.ledger.serves(request.model()))
                .min(Comparator.comparing((OrderQueue queue) -> queue.unloadAnnounced)
                        .thenComparing(queue -> queue.entry.id()))
                .map(queue -> queue.entry.id());
    }

    /** Returns the expected time until a runner serves a model; negative if the configuration has no such model. */
    private long readyInMillis(ResidencyMessages.Request request) {
        long nowMillis = clock.millis();
        for (OrderQueue queue : orderQueues.values()) {
            if (queue.ledger.serves(request.model())) {
                return 0;
            }
            if (queue.ledger.holdsOrLoads(request.model())) {
                return Math.max(0, queue.ledger.busyUntilMillis() - nowMillis) + OrderQueue.REPORT_RETRY_MILLIS;
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
        return planMillis + unloadNoticeMillis() + EXPECTED_UNLOAD_MILLIS + (long) (loadSeconds * 1_000);
    }

    /** Nodes learn of changes with the replies to their reports, which are rarer in a large group. */
    private long unloadNoticeMillis() {
        return Math.max(
                MIN_UNLOAD_NOTICE_MILLIS,
                ReportIntervals.intervalMillis(nodeCount.getAsInt()) + UNLOAD_NOTICE_MARGIN_MILLIS);
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
                .filter(queue -> queue.canLoadAdapter(engine.get(), request))
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
                .mapToLong(
                        queue -> Math.max(OrderQueue.CONFLICT_RETRY_MILLIS, queue.ledger.busyUntilMillis() - nowMillis))
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
            orderQueues.values().forEach(OrderQueue::close);
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
        control.schedule(unloadNoticeMillis(), () -> {
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
                    if (queue != null && queue.ledger.startedAtMillis() == entry.startedAtMillis()) {
                        queue.onEntry(entry);
                        return;
                    }
                    closeQueue(entry.id());
                    orderQueues.put(
                            entry.id(), new OrderQueue(entry, new Holder(), orders, unansweredOrders, control, clock));
                }));
        Set<String> gone = new HashSet<>(orderQueues.keySet());
        gone.removeAll(present);
        gone.forEach(this::closeQueue);
    }

    /** An order of a queue that was replaced could match the count of orders of the runner's new process. */
    private void closeQueue(String runner) {
        OrderQueue queue = orderQueues.remove(runner);
        if (queue != null) {
            queue.close();
        }
    }

    private Optional<EngineSpec> engine(String service) {
        ServiceSpec spec = config.get().services().get(service);
        return spec == null ? Optional.empty() : spec.engine();
    }

    static String key(String first, String second) {
        return first + '/' + second;
    }

    private final class Holder implements OrderQueue.Holder {
        @Override
        public String name() {
            return self;
        }

        @Override
        public Optional<PlacementGrant> usableGrant() {
            return ResidencyController.this.usableGrant();
        }

        @Override
        public void onFenced(long token) {
            fencedToken = token;
        }

        @Override
        public boolean mayStartStoreLoad() {
            return allowedStoreLoads() > 0;
        }

        @Override
        public void consumeStoreLoad() {
            storeLoadLimiter.consume();
        }

        @Override
        public boolean mayBeginStoreLoad() {
            return storeLoadLimiter.mayBegin();
        }

        @Override
        public StoreLoadLimiter.SentLoad storeLoadSent() {
            return storeLoadLimiter.onSent();
        }

        @Override
        public void storeLoadDecided(StoreLoadLimiter.SentLoad load, boolean mayHaveBegun) {
            storeLoadLimiter.onDecided(load, mayHaveBegun);
        }

        @Override
        public double neededMb(ModelSpec model) {
            return planner.neededMb(model);
        }

        @Override
        public long adapterLastUsedMillis(String model, String adapter) {
            return demand.adapterLastUsedMillis(model, adapter);
        }

        @Override
        public long reportIntervalMillis() {
            return ReportIntervals.intervalMillis(nodeCount.getAsInt());
        }

        @Override
        public void recordChange(ServerEntry runner, String model, String adapter, boolean present) {
            ResidencyController.this.recordChange(runner, model, adapter, present);
        }

        @Override
        public void countReply(String outcome) {
            orderCounter.accept(outcome);
        }
    }
}
