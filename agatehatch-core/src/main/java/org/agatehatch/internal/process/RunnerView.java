package org.agatehatch.internal.process;

import java.util.Optional;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.placement.Charge;

/** The placement holder's state for one runner: its newest inventory, the polls for it and the orders in flight. */
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

    /** Returns when the newest inventory was requested. It shows a state that is older than that by at most its lag. */
    long inventoryRequestedMillis() {
        return inventoryRequestedMillis;
    }

    long inventoryReceivedMillis() {
        return inventoryReceivedMillis;
    }

    /** Returns whether an order to this runner awaits its reply; a second order could overtake it. */
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

    /** Ends a poll. The answer to a poll that timed out is ignored, because a newer answer may have overtaken it. */
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

    /** Returns the time from which the next role order may be sent. */
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

    /** Returns the resident model that was loaded by the charge's order. */
    static Optional<ResidentModel> residentModel(EngineInventory inventory, Charge charge) {
        for (ResidentModel model : inventory.models()) {
            if (model.orderId().equals(charge.orderId())) {
                return Optional.of(model);
            }
        }
        return Optional.empty();
    }
}
