package org.agatehatch.standins.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.standins.http.Call;

/**
 * Models in the memory of one engine process, and the orders that change them. Not safe for use by several threads.
 */
final class Residency {
    private static final Set<String> ROLES = Set.of("both", "prompt", "answer");

    private final String epoch;
    private final EngineSettings settings;
    private final Consumer<Resident> loadStarter;
    private final Consumer<Resident> onGone;
    private final long[] freeMib;
    private final List<Resident> residents = new ArrayList<>();
    private final Set<String> acceptedOrders = new HashSet<>();
    private long highestFencingNumber = -1;
    private String role = "both";
    private long sequence;

    Residency(String epoch, EngineSettings settings, Consumer<Resident> loadStarter, Consumer<Resident> onGone) {
        this.epoch = epoch;
        this.settings = settings;
        this.loadStarter = loadStarter;
        this.onGone = onGone;
        this.freeMib = new long[settings.accelerators()];
        Arrays.fill(freeMib, settings.acceleratorMemoryMib());
    }

    /** A model that takes memory. */
    static final class Resident {
        private final EngineOrder order;
        private boolean loaded;
        private boolean unloading;
        private int users;

        private Resident(EngineOrder order) {
            this.order = order;
        }

        String model() {
            return order.model();
        }

        String version() {
            return order.version();
        }

        long memoryMib() {
            return order.memoryMib();
        }

        private boolean isReady() {
            return loaded && !unloading;
        }
    }

    /** Carries out an order or refuses it; fails with {@code INVALID_REQUEST} if it is malformed. */
    OrderReply apply(EngineOrder order, boolean leaving) {
        check(order);
        if (acceptedOrders.contains(orderKey(order))) {
            return reply(OrderReply.Status.ACCEPTED, "order was accepted before");
        }
        if (settings.checksFencing() && order.fencingNumber() < highestFencingNumber) {
            return reply(
                    OrderReply.Status.STALE_FENCING_NUMBER,
                    "fencing number " + order.fencingNumber() + " is lower than " + highestFencingNumber);
        }
        OrderReply reply =
                switch (order.kind()) {
                    case LOAD -> load(order, leaving);
                    case UNLOAD -> unload(order);
                    case SET_ROLE -> setRole(order);
                };
        if (reply.status() == OrderReply.Status.ACCEPTED) {
            acceptedOrders.add(orderKey(order));
            if (settings.checksFencing()) {
                highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
            }
        }
        return reply;
    }

    /** An unload names the order of the load that it ends, so the kind belongs to the identity. */
    private static String orderKey(EngineOrder order) {
        return order.kind() + " " + order.orderId();
    }

    /** The weight store has answered. */
    void loadEnded(Resident resident, boolean success) {
        if (success) {
            resident.loaded = true;
            sequence++;
        }
        if (!success || resident.unloading) {
            removeIfUnused(resident, !success);
        }
    }

    /** Returns a ready model, the one loaded last if no version is named, and counts its user. */
    Optional<Resident> acquire(String model, Optional<String> version) {
        for (int i = residents.size() - 1; i >= 0; i--) {
            Resident resident = residents.get(i);
            if (resident.isReady()
                    && resident.model().equals(model)
                    && version.map(resident.version()::equals).orElse(true)) {
                resident.users++;
                return Optional.of(resident);
            }
        }
        return Optional.empty();
    }

    boolean isReady(String model) {
        return residents.stream()
                .anyMatch(resident -> resident.isReady() && resident.model().equals(model));
    }

    void release(Resident resident) {
        resident.users--;
        if (resident.unloading) {
            removeIfUnused(resident, false);
        }
    }

    String role() {
        return role;
    }

    EngineInventory inventory(boolean leaving) {
        List<EngineInventory.ResidentModel> models = residents.stream()
                .map(resident -> new EngineInventory.ResidentModel(
                        resident.model(),
                        resident.version(),
                        resident.order.orderId(),
                        resident.order.accelerators(),
                        resident.memoryMib(),
                        resident.isReady()))
                .toList();
        return new EngineInventory(epoch, sequence, highestFencingNumber, role, leaving, models);
    }

    private OrderReply load(EngineOrder order, boolean leaving) {
        Optional<Resident> same = find(order);
        if (same.isPresent()) {
            return loadAgain(order, same.get());
        }
        if (leaving) {
            return reply(OrderReply.Status.REFUSED, "the engine is leaving");
        }
        for (int accelerator : order.accelerators()) {
            if (freeMib[accelerator] < order.memoryMib()) {
                return reply(
                        OrderReply.Status.NO_MEMORY,
                        "accelerator " + accelerator + " has " + freeMib[accelerator] + " MiB free, the model needs "
                                + order.memoryMib());
            }
        }
        order.accelerators().forEach(accelerator -> freeMib[accelerator] -= order.memoryMib());
        Resident resident = new Resident(order);
        residents.add(resident);
        sequence++;
        loadStarter.accept(resident);
        return reply(OrderReply.Status.ACCEPTED, "");
    }

    private OrderReply loadAgain(EngineOrder order, Resident same) {
        boolean sameMemory = same.memoryMib() == order.memoryMib()
                && Set.copyOf(same.order.accelerators()).equals(Set.copyOf(order.accelerators()));
        if (same.unloading) {
            return reply(OrderReply.Status.REFUSED, "the model is being unloaded; order it when it is gone");
        }
        if (!sameMemory) {
            return reply(
                    OrderReply.Status.REFUSED,
                    "the model is on accelerators " + same.order.accelerators() + " with " + same.memoryMib() + " MiB");
        }
        return reply(OrderReply.Status.ACCEPTED, "the model was resident or loading before");
    }

    private OrderReply unload(EngineOrder order) {
        Optional<Resident> resident = find(order);
        if (resident.isEmpty()) {
            return reply(OrderReply.Status.ACCEPTED, "the model was not resident");
        }
        if (!resident.get().unloading) {
            resident.get().unloading = true;
            sequence++;
            removeIfUnused(resident.get(), false);
        }
        return reply(OrderReply.Status.ACCEPTED, "");
    }

    private OrderReply setRole(EngineOrder order) {
        role = order.role();
        sequence++;
        return reply(OrderReply.Status.ACCEPTED, "");
    }

    private void removeIfUnused(Resident resident, boolean loadFailed) {
        // Memory of a running load is free only when the store has answered.
        if (resident.users > 0 || !(resident.loaded || loadFailed) || !residents.remove(resident)) {
            return;
        }
        resident.order.accelerators().forEach(accelerator -> freeMib[accelerator] += resident.memoryMib());
        sequence++;
        onGone.accept(resident);
    }

    private Optional<Resident> find(EngineOrder order) {
        return residents.stream()
                .filter(resident -> resident.model().equals(order.model())
                        && resident.version().equals(order.version()))
                .findFirst();
    }

    private OrderReply reply(OrderReply.Status status, String detail) {
        return new OrderReply(status, epoch, detail);
    }

    private void check(EngineOrder order) {
        require(order.kind() != null, "kind must be LOAD, UNLOAD or SET_ROLE");
        require(order.orderId() != null && !order.orderId().isBlank(), "order_id must not be empty");
        switch (order.kind()) {
            case LOAD -> {
                checkModel(order);
                boolean known = order.accelerators().stream().allMatch(a -> a >= 0 && a < freeMib.length);
                boolean distinct = Set.copyOf(order.accelerators()).size()
                        == order.accelerators().size();
                require(
                        known && distinct && !order.accelerators().isEmpty(),
                        "accelerators must be distinct numbers from 0 to " + (freeMib.length - 1) + ", but are "
                                + order.accelerators());
                require(order.memoryMib() > 0, "memory_mib must be positive, but is " + order.memoryMib());
            }
            case UNLOAD -> checkModel(order);
            case SET_ROLE ->
                require(order.role() != null && ROLES.contains(order.role()), "role must be one of " + ROLES);
        }
    }

    private static void checkModel(EngineOrder order) {
        require(order.model() != null && !order.model().isBlank(), "model must not be empty");
        require(order.version() != null && !order.version().isBlank(), "version must not be empty");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw Call.invalid("the order cannot be read: " + message);
        }
    }
}
