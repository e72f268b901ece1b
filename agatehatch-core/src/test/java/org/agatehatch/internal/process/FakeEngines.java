package org.agatehatch.internal.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.EngineOrders;
import org.agatehatch.api.engine.OrderKind;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Simulated engines with injected faults. They execute every order without checking their memory, and keep no record
 * of an order after its model is unloaded, so that a late copy loads the model again.
 */
final class FakeEngines implements EngineOrders {
    /** How an order message is delivered. */
    enum OrderDelivery {
        DELIVER,
        LOSE,
        LOSE_REPLY,
        HOLD,
        DUPLICATE
    }

    /** A delayed order, addressed to the engine process with the given epoch. */
    record HeldOrder(BackendServer runner, String epoch, EngineOrder order, CompletableFuture<OrderReply> reply) {}

    /** State of one engine process. */
    static final class Engine {
        int epoch = 1;
        long sequence;
        long highestFencingNumber = -1;
        String role = "both";
        boolean down;
        boolean leaving;
        OrderReply.Status refuseLoads;
        final Map<String, ResidentModel> models = new LinkedHashMap<>();
        final Map<String, Long> readyAtMillis = new HashMap<>();
        final List<EngineInventory> history = new ArrayList<>();

        String epochName() {
            return "epoch-" + epoch;
        }
    }

    final Map<String, Engine> engines = new TreeMap<>();
    final List<HeldOrder> heldOrders = new ArrayList<>();
    final List<EngineOrder> sentOrders = new ArrayList<>();
    final Deque<OrderDelivery> nextDeliveries = new ArrayDeque<>();
    final MonotonicClock clock;
    long loadMillis = 2_000;
    int inventoryLagVersions;
    /** Injected fault that the oracle must detect: an engine that checks fencing numbers accepts stale ones. */
    boolean acceptsStaleFencingNumbers;

    FakeEngines(MonotonicClock clock) {
        this.clock = clock;
    }

    Engine engine(String runner) {
        return engines.computeIfAbsent(runner, name -> new Engine());
    }

    @Override
    public CompletionStage<OrderReply> send(BackendServer runner, EngineOrder order) {
        sentOrders.add(order);
        OrderDelivery fate = nextDeliveries.isEmpty() ? OrderDelivery.DELIVER : nextDeliveries.poll();
        CompletableFuture<OrderReply> reply = new CompletableFuture<>();
        Engine engine = engine(runner.name());
        if (fate == OrderDelivery.LOSE || engine.down) {
            return reply;
        }
        if (fate == OrderDelivery.HOLD || fate == OrderDelivery.DUPLICATE && runner.checksFencing()) {
            heldOrders.add(new HeldOrder(runner, engine.epochName(), order, reply));
        }
        if (fate == OrderDelivery.HOLD) {
            return reply;
        }
        OrderReply answer = receive(runner, order);
        if (fate != OrderDelivery.LOSE_REPLY) {
            reply.complete(answer);
        }
        return reply;
    }

    /** Delivers a held order. It is dropped if the process to which its connection led has ended. */
    void deliverHeld(int index) {
        HeldOrder heldOrder = heldOrders.remove(index);
        if (heldOrder.epoch().equals(engine(heldOrder.runner().name()).epochName())) {
            heldOrder.reply().complete(receive(heldOrder.runner(), heldOrder.order()));
        }
    }

    private OrderReply receive(BackendServer runner, EngineOrder order) {
        Engine engine = engine(runner.name());
        refresh(engine);
        if (runner.checksFencing()) {
            if (order.fencingNumber() < engine.highestFencingNumber && !acceptsStaleFencingNumbers) {
                return reply(engine, OrderReply.Status.STALE_FENCING_NUMBER);
            }
            engine.highestFencingNumber = Math.max(engine.highestFencingNumber, order.fencingNumber());
        }
        if (order.kind() == OrderKind.SET_ROLE) {
            engine.role = order.role();
        } else if (order.kind() == OrderKind.UNLOAD) {
            engine.models.remove(order.orderId());
        } else if (engine.refuseLoads != null) {
            recordInventory(engine);
            return reply(engine, engine.refuseLoads);
        } else if (engine.models.values().stream().noneMatch(resident -> isSame(resident, order))) {
            engine.models.put(order.orderId(), resident(order, false));
            engine.readyAtMillis.put(order.orderId(), clock.millis() + loadMillis);
        }
        recordInventory(engine);
        return reply(engine, OrderReply.Status.ACCEPTED);
    }

    private static boolean isSame(ResidentModel model, EngineOrder order) {
        return model.model().equals(order.model()) && model.version().equals(order.version());
    }

    private static ResidentModel resident(EngineOrder order, boolean ready) {
        return new ResidentModel(
                order.model(), order.version(), order.orderId(), order.accelerators(), order.memoryMib(), ready);
    }

    private static OrderReply reply(Engine engine, OrderReply.Status status) {
        return new OrderReply(status, engine.epochName(), "");
    }

    @Override
    public CompletionStage<EngineInventory> inventory(BackendServer runner) {
        Engine engine = engine(runner.name());
        if (engine.down) {
            return CompletableFuture.failedFuture(new IllegalStateException("connection refused"));
        }
        refresh(engine);
        if (engine.history.isEmpty()) {
            recordInventory(engine);
        }
        int index = Math.max(0, engine.history.size() - 1 - inventoryLagVersions);
        return CompletableFuture.completedFuture(engine.history.get(index));
    }

    void refresh(Engine engine) {
        boolean changed = false;
        for (ResidentModel resident : List.copyOf(engine.models.values())) {
            if (!resident.ready() && clock.millis() >= engine.readyAtMillis.getOrDefault(resident.orderId(), 0L)) {
                engine.models.put(
                        resident.orderId(),
                        new ResidentModel(
                                resident.model(),
                                resident.version(),
                                resident.orderId(),
                                resident.accelerators(),
                                resident.memoryMib(),
                                true));
                changed = true;
            }
        }
        if (changed) {
            recordInventory(engine);
        }
    }

    private static void recordInventory(Engine engine) {
        engine.history.add(new EngineInventory(
                engine.epochName(),
                ++engine.sequence,
                engine.highestFencingNumber,
                engine.role,
                engine.leaving,
                List.copyOf(engine.models.values())));
    }

    /** Ends the engine process and starts a new one with a new epoch. */
    void crash(String runner) {
        Engine engine = engine(runner);
        engine.epoch++;
        engine.sequence = 0;
        engine.highestFencingNumber = -1;
        engine.models.clear();
        engine.history.clear();
        heldOrders.removeIf(heldOrder -> heldOrder.runner().name().equals(runner));
    }

    /** Returns the memory of the models resident on an accelerator and of held orders that can still be executed. */
    long actualMemoryMib(BackendServer runner, int accelerator) {
        Engine engine = engine(runner.name());
        Map<String, Long> memoryMibByOrder = new HashMap<>();
        engine.models.values().stream()
                .filter(resident -> resident.accelerators().contains(accelerator))
                .forEach(resident -> memoryMibByOrder.put(resident.orderId(), resident.memoryMib()));
        for (HeldOrder heldOrder : heldOrders) {
            boolean effective = heldOrder.runner().name().equals(runner.name())
                    && heldOrder.order().kind() == OrderKind.LOAD
                    && (!runner.checksFencing() || heldOrder.order().fencingNumber() >= engine.highestFencingNumber);
            if (effective && heldOrder.order().accelerators().contains(accelerator)) {
                memoryMibByOrder.putIfAbsent(
                        heldOrder.order().orderId(), heldOrder.order().memoryMib());
            }
        }
        return memoryMibByOrder.values().stream().mapToLong(mib -> mib).sum();
    }

    /** Returns the resident models of each engine, for failure messages. */
    String describe() {
        StringBuilder text = new StringBuilder();
        engines.forEach((name, engine) -> text.append(name)
                .append(' ')
                .append(engine.epochName())
                .append(' ')
                .append(engine.models.values())
                .append("; "));
        return text.toString();
    }

    /** Returns the runners on which a model is ready in the engine itself, by the id of the order that loaded it. */
    Map<String, String> readyRunners(String model) {
        Map<String, String> result = new TreeMap<>();
        engines.forEach((name, engine) -> {
            refresh(engine);
            if (!engine.down) {
                engine.models.values().stream()
                        .filter(resident -> resident.model().equals(model) && resident.ready())
                        .forEach(resident -> result.put(resident.orderId(), name));
            }
        });
        return result;
    }
}
