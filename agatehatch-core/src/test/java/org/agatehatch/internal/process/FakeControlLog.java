package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.PlacementLedger;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.OrderSettled;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;

/** An in-memory stream {@code control} with one lease, whose records are applied as on every node. */
final class FakeControlLog {
    final PlacementLedger ledger = new PlacementLedger();
    final List<StateRecord> accepted = new ArrayList<>();
    Catalogue catalogue;
    long lastOffset = 100;
    long leaseFencingNumber = -1;
    boolean down;
    int responsesToLose;
    Consumer<PlacementIntent> beforeIntent = intent -> {};
    Consumer<PlacementIntent> onUnloadOfReady = intent -> {};

    FakeControlLog(Catalogue catalogue) {
        this.catalogue = catalogue;
    }

    /** Gives the lease to a new holder and returns its fencing number. */
    long takeLease() {
        leaseFencingNumber = ++lastOffset;
        return leaseFencingNumber;
    }

    OptionalLong ifLeaseHeld(long fencingNumber) {
        return leaseFencingNumber == fencingNumber ? OptionalLong.of(fencingNumber) : OptionalLong.empty();
    }

    CompletionStage<RecordSink.AppliedRecord> append(StateRecord record) {
        if (down) {
            return CompletableFuture.failedFuture(new IllegalStateException("log is down"));
        }
        long offset = ++lastOffset;
        RecordSink.AppliedRecord applied = new RecordSink.AppliedRecord(apply(offset, record), offset);
        if (applied.acceptance().accepted()) {
            accepted.add(record);
        }
        if (responsesToLose > 0) {
            responsesToLose--;
            return CompletableFuture.failedFuture(new IllegalStateException("response lost"));
        }
        return CompletableFuture.completedFuture(applied);
    }

    private Acceptance apply(long offset, StateRecord record) {
        if (record instanceof PlacementIntent intent) {
            if (intent.leaseFencingNumber() != leaseFencingNumber) {
                return Acceptance.refused(ErrorCode.PLACEMENT_REFUSED, "lease lost");
            }
            beforeIntent.accept(intent);
            boolean unloadOfReady = intent.kind() == IntentKind.UNLOAD
                    && ledger.entry(intent.orderId()).stream()
                            .anyMatch(entry -> entry.charge().state() == ChargeState.READY);
            Acceptance acceptance = ledger.apply(offset, intent, catalogue);
            if (unloadOfReady && acceptance.accepted()) {
                onUnloadOfReady.accept(intent);
            }
            return acceptance;
        }
        OrderSettled settled = (OrderSettled) record;
        return settled.leaseFencingNumber() == leaseFencingNumber
                ? ledger.apply(offset, settled, catalogue)
                : Acceptance.refused(ErrorCode.PLACEMENT_REFUSED, "lease lost");
    }

    long countAccepted(IntentKind kind) {
        return accepted.stream()
                .filter(record -> record instanceof PlacementIntent intent && intent.kind() == kind)
                .count();
    }
}
