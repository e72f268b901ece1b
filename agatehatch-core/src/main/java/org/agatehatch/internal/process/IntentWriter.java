package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.OrderSettled;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.agatehatch.internal.version.record.StateRecord.SettledOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends placement intents and settlements to the log on behalf of the lease holder, with at most one append in flight
 * per order. Logs each decision with its result. Confined to the control thread.
 */
final class IntentWriter {
    private static final Logger log = LoggerFactory.getLogger(IntentWriter.class);

    private final PlacementContext context;
    private final Queue<Runnable> events;
    private final Map<String, Long> pendingSinceMillis = new HashMap<>();
    private long leaseFencingNumber;

    IntentWriter(PlacementContext context, Queue<Runnable> events) {
        this.context = context;
        this.events = events;
    }

    void onLeaseAcquired(long fencingNumber) {
        leaseFencingNumber = fencingNumber;
        pendingSinceMillis.clear();
    }

    boolean isPending(String key) {
        return pendingSinceMillis.containsKey(key);
    }

    boolean hasPending() {
        return !pendingSinceMillis.isEmpty();
    }

    /**
     * Stops waiting for unanswered appends after twice the reply timeout. The ledger shows whether they took effect.
     */
    void expirePending(long nowMillis) {
        long limit = 2 * context.times().replyTimeoutMillis();
        pendingSinceMillis.values().removeIf(since -> nowMillis - since >= limit);
    }

    void appendIntent(IntentKind kind, Charge charge, String reason) {
        appendIntent(kind, charge, "", reason, offset -> {});
    }

    void appendIntent(IntentKind kind, Charge charge, String role, String reason, LongConsumer onAccepted) {
        PlacementIntent intent = new PlacementIntent(
                context.randomId(),
                context.pool(),
                leaseFencingNumber,
                kind,
                charge.orderId(),
                charge.model(),
                charge.version(),
                charge.runner(),
                charge.accelerators(),
                charge.memoryMib(),
                role,
                reason);
        append(charge.orderId(), intent, result -> {
            log.info(
                    "placement decision pool={} kind={} model={} version={} runner={} accelerators={} memory_mib={}"
                            + " order={} offset={} reason=\"{}\" result={}",
                    context.pool(),
                    kind,
                    charge.model(),
                    charge.version(),
                    charge.runner(),
                    charge.accelerators(),
                    charge.memoryMib(),
                    charge.orderId(),
                    result.offset(),
                    reason,
                    result.acceptance()
                            .refusal()
                            .map(refusal -> refusal.message())
                            .orElse("accepted"));
            if (result.acceptance().accepted()) {
                onAccepted.accept(result.offset());
            }
        });
    }

    void appendSettlement(
            Charge charge,
            SettledOutcome outcome,
            EngineInventory inventory,
            int unansweredCopies,
            Runnable onAccepted) {
        OrderSettled settled = new OrderSettled(
                context.randomId(),
                context.pool(),
                leaseFencingNumber,
                charge.orderId(),
                outcome,
                inventory.runnerEpoch(),
                inventory.sequence(),
                unansweredCopies);
        append(charge.orderId(), settled, result -> {
            if (result.acceptance().accepted()) {
                onAccepted.run();
                return;
            }
            log.warn(
                    "placement settlement refused order={} outcome={} cause=\"{}\"",
                    charge.orderId(),
                    outcome,
                    result.acceptance()
                            .refusal()
                            .map(refusal -> refusal.message())
                            .orElse(""));
        });
    }

    /**
     * Keeps the order pending for one backoff, since the cause of a refused record may persist in the next tick. Not
     * called at present: after a refusal the order is no longer pending.
     */
    private void retryLater(String key) {
        long limit = 2 * context.times().replyTimeoutMillis();
        pendingSinceMillis.put(
                key, context.clock().millis() - limit + context.times().backoffMillis());
    }

    private void append(String key, StateRecord stateRecord, Consumer<RecordSink.AppliedRecord> onApplied) {
        long leaseAtAppend = leaseFencingNumber;
        long sentAtMillis = context.clock().millis();
        pendingSinceMillis.put(key, sentAtMillis);
        context.sink()
                .append(stateRecord)
                .whenComplete((result, failure) -> events.add(() -> {
                    if (leaseAtAppend != leaseFencingNumber) {
                        return;
                    }
                    if (failure != null) {
                        // The order stays pending until it expires, because the record may still be appended.
                        log.warn("placement append unanswered order={} cause=\"{}\"", key, failure.getMessage());
                        return;
                    }
                    pendingSinceMillis.remove(key, sentAtMillis);
                    onApplied.accept(result);
                }));
    }

    /** Returns a charge in state LOADING with a new order id. */
    Charge newLoadingCharge(String model, String version, String runner, List<Integer> accelerators, long memoryMib) {
        return new Charge(context.randomId(), model, version, runner, accelerators, memoryMib, ChargeState.LOADING);
    }
}
