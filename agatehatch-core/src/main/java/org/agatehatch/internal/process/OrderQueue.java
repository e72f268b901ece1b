package org.agatehatch.internal.process;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.fleet.EngineSpec;
import org.agatehatch.api.fleet.ModelSpec;
import org.agatehatch.api.fleet.ResidencyOrder;
import org.agatehatch.api.fleet.ResidencyOrders;
import org.agatehatch.api.fleet.RunnerReport;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The placement holder's queue of orders for one process of a runner, which executes one order at a time. */
final class OrderQueue {
    private static final Logger log = LoggerFactory.getLogger(OrderQueue.class);

    /** Minimum time between two reads of a runner's report. Reports lag some hundred milliseconds behind. */
    static final long REPORT_RETRY_MILLIS = 250;

    /** Time after which an unsent order is dropped; the requests that need an adapter wait no longer. */
    private static final long ORDER_QUEUE_TIMEOUT_MILLIS = 400;

    /** Time to load an adapter; the users' data sheets state 5 to 9.7 ms. */
    private static final long ADAPTER_LOAD_MILLIS = 11;

    /** Time after which a runner is no longer reserved for the model for which it makes room. */
    private static final long RESERVATION_TIMEOUT_MILLIS = 4_000;

    /** Delay before an adapter order is sent again to a runner that executes another order. */
    static final long CONFLICT_RETRY_MILLIS = 100;

    /** Factor by which the delay grows with each time that a runner still unloads another model. */
    private static final double DRAIN_RETRY_GROWTH = 1.6;

    private static final long MAX_DRAIN_RETRY_MILLIS = 500;

    /** Time for which a load is sent again to a runner that still unloads another model; afterwards its report is read. */
    private static final long UNLOAD_TIMEOUT_MILLIS = 3_000;

    /** Margin on an order's expected duration before the runner's report is read to find out whether it is done. */
    private static final long LOAD_SLACK_MILLIS = 100;

    /** Margin on a node's report interval after which an adapter that its reports did not name is not in use. */
    private static final long ADAPTER_REPORT_DELAY_MILLIS = 150;

    /** Age that no report exceeds; reports lag some hundred milliseconds behind. */
    private static final long MAX_REPORT_AGE_MILLIS = 2_000;

    /** What a queue needs of the placement holder. */
    interface Holder {
        /** Returns the holder's name. */
        String name();

        /** Returns the grant with which orders may be sent now. */
        Optional<PlacementGrant> usableGrant();

        /** Called when a runner has seen a higher token. */
        void onFenced(long token);

        /** Returns whether a load from the weight store may start now. */
        boolean mayStartStoreLoad();

        /** Takes a load from what the weight store allows. */
        void consumeStoreLoad();

        /** Returns whether a load from the weight store may begin now, however it was planned. */
        boolean mayBeginStoreLoad();

        /** Records that a load from the weight store is sent. */
        StoreLoadLimiter.SentLoad storeLoadSent();

        /** Records that it is known of a load whether the runner has begun it. */
        void storeLoadDecided(StoreLoadLimiter.SentLoad load, boolean mayHaveBegun);

        /** Returns the memory that a model and its adapters need on a runner. */
        double neededMb(ModelSpec model);

        /** Returns when a request last used an adapter. */
        long adapterLastUsedMillis(String model, String adapter);

        /** Returns the interval at which nodes report which adapters are in use. */
        long reportIntervalMillis();

        /** Records that a runner has loaded a model or adapter, or is about to unload it. */
        void recordChange(ServerEntry runner, String model, String adapter, boolean present);

        /** Counts the reply to an order, or {@code NO_ANSWER}. */
        void countReply(String outcome);
    }

    private final Holder holder;
    private final ResidencyOrders orders;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final UnansweredOrders unanswered;
    final RunnerLedger ledger;
    private final ArrayDeque<QueuedOrder> queue = new ArrayDeque<>();
    final Map<String, CompletableFuture<ResidencyMessages.Reply>> pendingAdapters = new HashMap<>();
    ServerEntry entry;
    /** Loads whose orders got no reply, with the number of orders that they expected. */
    private final Map<StoreLoadLimiter.SentLoad, Long> unansweredLoads = new HashMap<>();

    private boolean orderInFlight;
    private boolean closed;
    boolean unloadAnnounced;
    private String reservedModel = "";
    private long reservedUntilMillis = Long.MIN_VALUE;
    private boolean reportInFlight;
    private long lastReportReadMillis = Long.MIN_VALUE / 2;
    private long lastAcceptedMillis = Long.MIN_VALUE / 2;

    /**
     * An order that waits for its turn.
     *
     * @param followsUnload whether the order is a load that the runner accepts once an unload in progress is carried out
     * @param storeLoadTaken whether a load from the weight store was taken for it when it was planned
     * @param refusals number of times that the runner refused it because it still executed another order
     */
    private record QueuedOrder(
            EngineSpec engine,
            ResidencyOrder order,
            boolean followsUnload,
            boolean storeLoadTaken,
            int refusals,
            CompletableFuture<Boolean> result,
            long expiresAtMillis) {
        private QueuedOrder refused() {
            return new QueuedOrder(engine, order, followsUnload, storeLoadTaken, refusals + 1, result, expiresAtMillis);
        }
    }

    /** Creates an empty queue for the process that wrote an entry. */
    OrderQueue(
            ServerEntry entry,
            Holder holder,
            ResidencyOrders orders,
            UnansweredOrders unanswered,
            ControlThread control,
            MonotonicClock clock) {
        this.entry = entry;
        this.holder = holder;
        this.orders = orders;
        this.unanswered = unanswered;
        this.control = control;
        this.clock = clock;
        this.ledger = new RunnerLedger(entry);
    }

    void onEntry(ServerEntry newer) {
        if (newer != entry) {
            entry = newer;
            ledger.onEntry(newer);
        }
    }

    /** Drops all orders that are not sent. Another queue takes over, with another record of the runner's state. */
    void close() {
        closed = true;
        List.copyOf(queue).forEach(task -> task.result().complete(false));
        queue.clear();
    }

    void reserve(String model) {
        reservedModel = model;
        reservedUntilMillis = clock.millis() + RESERVATION_TIMEOUT_MILLIS;
    }

    /** Returns the model for which the runner makes room; empty if there is none. */
    String reservedFor() {
        boolean released = clock.millis() >= reservedUntilMillis || ledger.holdsOrLoads(reservedModel);
        return released ? "" : reservedModel;
    }

    ResidencyPlanner.Runner plannerInput() {
        long busyForMillis = Math.max(0, ledger.busyUntilMillis() - clock.millis());
        return new ResidencyPlanner.Runner(
                entry.id(), ledger, isBusy(), busyForMillis, reservedFor(), this::leavesRoomForLateOrders);
    }

    private boolean leavesRoomForLateOrders(ResidencyOrder order, EngineSpec engine) {
        return ledger.leavesRoomForLateOrders(
                order, engine, ordersAccepted -> unanswered.expecting(entry.id(), ordersAccepted));
    }

    private boolean isBusy() {
        return !ledger.isKnown() || ledger.busy() || orderInFlight || unloadAnnounced || !queue.isEmpty();
    }

    /** Reads the runner's report if its state is not known, or if the order in progress should be done by now. */
    void refreshReport() {
        long nowMillis = clock.millis();
        boolean reportNeeded = !ledger.isKnown() || (ledger.busy() && nowMillis >= ledger.busyUntilMillis());
        if (closed
                || !reportNeeded
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
                    decideUnansweredLoads();
                    sendNext();
                    if (ledger.busy()) {
                        control.schedule(REPORT_RETRY_MILLIS, this::refreshReport);
                    }
                }));
    }

    private void onReport(RunnerReport report) {
        Set<String> served = servedModels();
        boolean coversAllOrders = lastReportReadMillis - lastAcceptedMillis > MAX_REPORT_AGE_MILLIS;
        if (coversAllOrders && report.ordersAccepted() < ledger.ordersAccepted()) {
            log.warn(
                    "event=order_count_corrected runner={} from={} to={}",
                    entry.id(),
                    ledger.ordersAccepted(),
                    report.ordersAccepted());
            ledger.resetOrdersAccepted(report.ordersAccepted());
        }
        if (!ledger.onReport(report)) {
            return;
        }
        servedModels().stream()
                .filter(model -> !served.contains(model))
                .forEach(model -> holder.recordChange(entry, model, "", true));
    }

    private Set<String> servedModels() {
        Set<String> served = new HashSet<>(ledger.models());
        served.removeIf(model -> !ledger.serves(model));
        return served;
    }

    CompletionStage<ResidencyMessages.Reply> loadAdapter(EngineSpec engine, ResidencyMessages.Request request) {
        CompletableFuture<ResidencyMessages.Reply> result = new CompletableFuture<>();
        String name = ResidencyController.key(request.model(), request.adapter());
        pendingAdapters.put(name, result);
        if (ledger.adapterCount() + pendingAdapters.size() > engine.adapterSlots()) {
            leastRecentlyUsedAdapter().ifPresent(evicted -> {
                holder.recordChange(entry, evicted.model(), evicted.adapter(), false);
                submit(engine, evicted, new CompletableFuture<>());
            });
        }
        CompletableFuture<Boolean> loaded = new CompletableFuture<>();
        submit(engine, new ResidencyOrder(ResidencyOrder.Action.LOAD, request.model(), request.adapter()), loaded);
        loaded.whenComplete((done, failure) -> {
            pendingAdapters.remove(name);
            boolean held = failure == null && done;
            result.complete(held ? new ResidencyMessages.Reply(entry.id(), 0) : ResidencyMessages.Reply.UNAVAILABLE);
        });
        return result;
    }

    /** Returns whether an adapter can be loaded now, with an unload before it if no slot is free. */
    boolean canLoadAdapter(EngineSpec engine, ResidencyMessages.Request request) {
        boolean slotFree = ledger.adapterCount() + pendingAdapters.size() < engine.adapterSlots();
        ResidencyOrder load = new ResidencyOrder(ResidencyOrder.Action.LOAD, request.model(), request.adapter());
        Optional<ResidencyOrder> first = slotFree ? Optional.of(load) : leastRecentlyUsedAdapter();
        return first.filter(order -> leavesRoomForLateOrders(order, engine)).isPresent();
    }

    /** Returns an order to unload the least recently used adapter; empty if all of them may be in use. */
    private Optional<ResidencyOrder> leastRecentlyUsedAdapter() {
        ResidencyOrder candidate = null;
        // Each report names the adapters in use, so an adapter that no report names for longer than that is unused.
        long lastUsedBeforeMillis = clock.millis() - holder.reportIntervalMillis() - ADAPTER_REPORT_DELAY_MILLIS;
        for (String model : ledger.models()) {
            for (String adapter : ledger.adapters(model)) {
                long usedMillis = holder.adapterLastUsedMillis(model, adapter);
                boolean loading = pendingAdapters.containsKey(ResidencyController.key(model, adapter));
                if (!loading && usedMillis < lastUsedBeforeMillis) {
                    candidate = new ResidencyOrder(ResidencyOrder.Action.UNLOAD, model, adapter);
                    lastUsedBeforeMillis = usedMillis;
                }
            }
        }
        return Optional.ofNullable(candidate);
    }

    void submit(EngineSpec engine, ResidencyOrder order, CompletableFuture<Boolean> done) {
        if (closed) {
            done.complete(false);
            return;
        }
        queue.add(new QueuedOrder(engine, order, false, false, 0, done, clock.millis() + ORDER_QUEUE_TIMEOUT_MILLIS));
        sendNext();
    }

    /**
     * Sends the load for which an unload makes room, again and again until the runner accepts it, since its report would
     * show the end of the unload some hundred milliseconds late.
     */
    private void loadAfterUnload(EngineSpec engine) {
        String model = reservedFor();
        ModelSpec spec = engine.models().get(model);
        boolean possible = !closed
                && spec != null
                && ledger.freeMbAfterUnload(engine) >= holder.neededMb(spec)
                && (ledger.hasLocalCopy(model) || holder.mayStartStoreLoad());
        if (!possible) {
            return;
        }
        boolean storeLoad = !ledger.hasLocalCopy(model);
        if (storeLoad) {
            holder.consumeStoreLoad();
        }
        QueuedOrder load = new QueuedOrder(
                engine,
                new ResidencyOrder(ResidencyOrder.Action.LOAD, model, ""),
                true,
                storeLoad,
                0,
                new CompletableFuture<>(),
                clock.millis() + UNLOAD_TIMEOUT_MILLIS);
        sendAgainLater(load);
    }

    /** The drain of an unload takes up to some seconds, so that the load behind it is tried at growing intervals. */
    private static long retryDelayMillis(QueuedOrder task) {
        if (!task.followsUnload()) {
            return CONFLICT_RETRY_MILLIS;
        }
        double factor = Math.pow(DRAIN_RETRY_GROWTH, task.refusals());
        return Math.min(MAX_DRAIN_RETRY_MILLIS, Math.round(CONFLICT_RETRY_MILLIS * factor));
    }

    private void sendAgainLater(QueuedOrder task) {
        orderInFlight = true;
        control.schedule(retryDelayMillis(task), () -> {
            orderInFlight = false;
            if (closed) {
                task.result().complete(false);
                return;
            }
            queue.addFirst(task);
            sendNext();
        });
    }

    private void sendNext() {
        expireQueued();
        Optional<PlacementGrant> usable = holder.usableGrant();
        if (closed || orderInFlight || queue.isEmpty() || !ledger.isKnown() || usable.isEmpty()) {
            return;
        }
        QueuedOrder task = queue.poll();
        String obstacle = obstacle(task);
        if (!obstacle.isEmpty()) {
            log.info("event=order_withheld runner={} order=\"{}\" reason={}", entry.id(), task.order(), obstacle);
            task.result().complete(false);
            sendNext();
            return;
        }
        boolean storeLoad = isStoreLoad(task.order());
        if (storeLoad && task.followsUnload() && !holder.mayBeginStoreLoad()) {
            sendAgainLater(task.refused());
            return;
        }
        if (storeLoad && !task.storeLoadTaken()) {
            holder.consumeStoreLoad();
        }
        send(task, usable.get().token(), storeLoad ? Optional.of(holder.storeLoadSent()) : Optional.empty());
    }

    private void send(QueuedOrder task, long token, Optional<StoreLoadLimiter.SentLoad> load) {
        orderInFlight = true;
        long expected = ledger.ordersAccepted();
        UnansweredOrders.SentOrder sent = unanswered.onSent(entry.id(), task.order(), expected);
        orders.order(entry, task.order(), expected, holder.name(), token)
                .whenComplete((reply, failure) -> control.execute(() -> {
                    if (failure == null || isNotRun(failure)) {
                        unanswered.onSettled(sent);
                        load.ifPresent(begun -> holder.storeLoadDecided(
                                begun, failure == null && reply == ResidencyOrders.Reply.ACCEPTED));
                    } else {
                        load.ifPresent(maybeBegun -> unansweredLoads.put(maybeBegun, expected));
                    }
                    onReply(task, expected, token, reply, failure);
                    decideUnansweredLoads();
                }));
    }

    /** A runner that has accepted more orders than a load expected has begun that load, or will not. */
    private void decideUnansweredLoads() {
        unansweredLoads.entrySet().removeIf(load -> {
            boolean decided = ledger.ordersAccepted() > load.getValue();
            if (decided) {
                holder.storeLoadDecided(load.getKey(), true);
            }
            return decided;
        });
    }

    private boolean isStoreLoad(ResidencyOrder order) {
        return order.action() == ResidencyOrder.Action.LOAD
                && !order.forAdapter()
                && !ledger.hasLocalCopy(order.model());
    }

    /** Returns why an order is not sent; empty if it is. */
    private String obstacle(QueuedOrder task) {
        if (!task.followsUnload() && !ledger.fits(task.order(), task.engine())) {
            return "no_room";
        }
        if (!leavesRoomForLateOrders(task.order(), task.engine())) {
            return "late_orders";
        }
        boolean begins = task.followsUnload() || !isStoreLoad(task.order()) || holder.mayBeginStoreLoad();
        return begins ? "" : "weight_store_limit";
    }

    private static boolean isNotRun(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof AgatehatchException known && known.outcome() == Outcome.NOT_RUN;
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

    private void onReply(QueuedOrder task, long expected, long token, ResidencyOrders.Reply reply, Throwable failure) {
        orderInFlight = false;
        String outcome = failure == null ? reply.name() : "NO_ANSWER";
        holder.countReply(outcome);
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
                lastAcceptedMillis = clock.millis();
                ledger.onAlreadyDone(task.order());
                task.result().complete(true);
                refreshReport();
            }
            case FENCED -> {
                holder.onFenced(token);
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
        sendAgainLater(task.refused());
    }

    private void onAccepted(QueuedOrder task) {
        ResidencyOrder order = task.order();
        ModelSpec model = task.engine().models().get(order.model());
        double seconds = order.action() == ResidencyOrder.Action.LOAD && !order.forAdapter()
                ? (ledger.hasLocalCopy(order.model()) ? model.diskSeconds() : model.loadSeconds())
                : 0;
        long doneInMillis = (long) (seconds * 1_000) + LOAD_SLACK_MILLIS;
        lastAcceptedMillis = clock.millis();
        ledger.onAccepted(order, lastAcceptedMillis + doneInMillis);
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
