package org.agatehatch.internal.process;

import java.util.Optional;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.placement.Charge;

/** What the placement holder knows about one runner from its inventories. */
final class RunnerView {
    private BackendServer server;
    private EngineInventory inventory;
    private long inventoryRequestedMillis;
    private long inventoryReceivedMillis;
    private long pollId;
    private boolean polling;
    private long pollStartedMillis;
    private long nextPollMillis;
    private long busyUntilMillis = Long.MIN_VALUE;
    private long nextRoleOrderMillis = Long.MIN_VALUE;

    RunnerView(BackendServer server) {
        this.server = server;
    }

    BackendServer server() {
        return server;
    }

    void update(BackendServer newer) {
        server = newer;
    }

    Optional<EngineInventory> inventory() {
        return Optional.ofNullable(inventory);
    }

    /** Returns when the newest inventory was asked for; it shows the engine no earlier than its own lag before that. */
    long inventoryRequestedMillis() {
        return inventoryRequestedMillis;
    }

    long inventoryReceivedMillis() {
        return inventoryReceivedMillis;
    }

    /** Returns whether an order to this runner waits for its reply; a second one could overtake it. */
    boolean isBusy(long nowMillis) {
        return nowMillis < busyUntilMillis;
    }

    void setBusyUntil(long millis) {
        busyUntilMillis = millis;
    }

    void setIdle() {
        busyUntilMillis = Long.MIN_VALUE;
    }

    boolean isPollDue(long nowMillis, long replyMillis) {
        if (polling) {
            return nowMillis - pollStartedMillis >= replyMillis;
        }
        return nowMillis >= nextPollMillis;
    }

    long startPoll(long nowMillis) {
        polling = true;
        pollStartedMillis = nowMillis;
        return ++pollId;
    }

    /** Ends a poll. Answers to polls that were given up are ignored, since a newer one may have overtaken them. */
    void endPoll(long id, EngineInventory answer, long nowMillis, long nextMillis) {
        if (id != pollId) {
            return;
        }
        polling = false;
        nextPollMillis = nextMillis;
        if (answer == null || isOlder(answer)) {
            return;
        }
        inventory = answer;
        inventoryRequestedMillis = pollStartedMillis;
        inventoryReceivedMillis = nowMillis;
    }

    /** Returns when the next role order may be sent. */
    long nextRoleOrderMillis() {
        return nextRoleOrderMillis;
    }

    void setNextRoleOrderMillis(long millis) {
        nextRoleOrderMillis = millis;
    }

    void pollSoon() {
        nextPollMillis = Long.MIN_VALUE;
    }

    private boolean isOlder(EngineInventory answer) {
        return inventory != null
                && inventory.runnerEpoch().equals(answer.runnerEpoch())
                && answer.sequence() < inventory.sequence();
    }

    /** Returns the resident model that a charge stands for. */
    static Optional<ResidentModel> residentModel(EngineInventory inventory, Charge charge) {
        for (ResidentModel model : inventory.models()) {
            if (model.orderId().equals(charge.orderId())) {
                return Optional.of(model);
            }
        }
        return Optional.empty();
    }
}
