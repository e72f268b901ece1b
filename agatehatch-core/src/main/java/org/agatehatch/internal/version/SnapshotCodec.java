package org.agatehatch.internal.version;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueDiff;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.PlacementLedger.InventoryWatermark;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;
import org.agatehatch.internal.version.record.MessagePackValues.MalformedValueException;

/** Encodes and decodes the complete replicated state. Equal states have equal encodings on every node. */
public final class SnapshotCodec {
    private static final long FORMAT = 1;

    private SnapshotCodec() {}

    /** Returns the encoded state. */
    public static byte[] encode(ReplicatedState state) {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("format", FORMAT);
        root.put("through_offset", state.throughOffset());
        root.put("catalogue_version", state.catalogue().version());
        root.put("catalogue", diff(CatalogueDiff.between(Catalogue.EMPTY, state.catalogue())));
        root.put(
                "leases",
                state.leases().all().stream().map(SnapshotCodec::lease).toList());
        root.put(
                "history",
                state.history().changes().stream().map(SnapshotCodec::change).toList());
        root.put(
                "strikes",
                state.strikes().all().stream().map(SnapshotCodec::crash).toList());
        root.put("drained", state.drained().stream().sorted().toList());
        root.put(
                "charges",
                state.ledger().snapshot().entries().stream()
                        .map(SnapshotCodec::ledgerEntry)
                        .toList());
        root.put("roles", new TreeMap<>(state.ledger().roles()));
        root.put(
                "inventory_marks", inventoryWatermarks(state.ledger().snapshot().watermarks()));
        root.put("record_ids", state.encodedRecordIds());
        return MessagePackValues.encode(root);
    }

    /** Returns a hash of the state's content, equal on all nodes that applied the same records. */
    public static long contentHash(ReplicatedState state) {
        return LongHashFunction.xx3().hashBytes(encode(state));
    }

    /**
     * Decodes a snapshot.
     *
     * @throws AgatehatchException {@code BAD_FRAME} if the bytes are not a snapshot in the format of this version
     */
    public static ReplicatedState decode(byte[] bytes) {
        try {
            Fields root = new Fields(MessagePackValues.decode(bytes));
            if (root.integer("format") != FORMAT) {
                throw new IllegalArgumentException("format is " + root.integer("format") + ", expected " + FORMAT);
            }
            Catalogue catalogue = diff(new Fields(root.map("catalogue")))
                    .applyTo(Catalogue.EMPTY, root.integer("catalogue_version"))
                    .orThrow();
            List<LedgerEntry> entries = root.maps("charges").stream()
                    .map(SnapshotCodec::ledgerEntry)
                    .toList();
            Map<String, String> roles = new TreeMap<>();
            root.map("roles").forEach((runner, role) -> roles.put(runner, (String) role));
            return ReplicatedState.restore(
                    root.integer("through_offset"),
                    catalogue,
                    root.maps("leases").stream().map(SnapshotCodec::lease).toList(),
                    root.maps("history").stream().map(SnapshotCodec::change).toList(),
                    root.maps("strikes").stream().map(SnapshotCodec::crash).toList(),
                    root.list("drained", String.class),
                    PlacementLedger.restore(new PlacementLedger.Snapshot(
                            entries,
                            roles,
                            inventoryWatermarks(
                                    new Fields(root.map("inventory_marks")),
                                    root.map("inventory_marks").keySet()))),
                    root.bytes("record_ids"));
        } catch (MalformedValueException
                | IllegalArgumentException
                | ArithmeticException
                | ClassCastException
                | AgatehatchException e) {
            throw new AgatehatchException(
                    ErrorCode.BAD_FRAME,
                    "snapshot",
                    "self",
                    Outcome.NOT_RUN,
                    "cannot decode snapshot: " + e.getMessage()
                            + "; check whether nodes of another release write this stream",
                    e);
        }
    }

    private static Map<String, Object> diff(CatalogueDiff diff) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("upserts", diff.upserts());
        map.put("removals", diff.removals());
        return map;
    }

    private static CatalogueDiff diff(Fields fields) {
        Map<String, Map<String, Map<String, Object>>> upserts = new LinkedHashMap<>();
        Fields sections = new Fields(fields.map("upserts"));
        for (String section : fields.map("upserts").keySet()) {
            Fields entries = new Fields(sections.map(section));
            Map<String, Map<String, Object>> byName = new LinkedHashMap<>();
            sections.map(section).keySet().forEach(name -> byName.put(name, entries.map(name)));
            upserts.put(section, byName);
        }
        Map<String, List<String>> removals = new LinkedHashMap<>();
        Fields removed = new Fields(fields.map("removals"));
        fields.map("removals").keySet().forEach(section -> removals.put(section, removed.list(section, String.class)));
        return new CatalogueDiff(upserts, removals);
    }

    private static Map<String, Object> lease(LeaseTable.Lease lease) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", lease.name());
        map.put("node", lease.node());
        map.put("incarnation", lease.incarnation());
        map.put("fencing_number", lease.fencingNumber());
        map.put("renewal_offset", lease.renewalOffset());
        return map;
    }

    private static LeaseTable.Lease lease(Fields fields) {
        return new LeaseTable.Lease(
                fields.text("name"),
                fields.text("node"),
                fields.text("incarnation"),
                fields.integer("fencing_number"),
                fields.integer("renewal_offset"));
    }

    private static Map<String, Object> change(CatalogueHistory.Change change) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("version", change.version());
        map.put("offset", change.offset());
        map.put("operator", change.operator());
        map.put("undo", diff(change.undo()));
        return map;
    }

    private static CatalogueHistory.Change change(Fields fields) {
        return new CatalogueHistory.Change(
                fields.integer("version"),
                fields.integer("offset"),
                fields.text("operator"),
                diff(new Fields(fields.map("undo"))));
    }

    private static Map<String, Object> crash(StrikeTable.Crash crash) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("fingerprint", crash.fingerprint());
        map.put("backend_server", crash.backendServer());
        map.put("runner_epoch", crash.runnerEpoch());
        map.put("offset", crash.offset());
        return map;
    }

    private static StrikeTable.Crash crash(Fields fields) {
        return new StrikeTable.Crash(
                fields.integer("fingerprint"),
                fields.text("backend_server"),
                fields.text("runner_epoch"),
                fields.integer("offset"));
    }

    private static Map<String, Object> inventoryWatermarks(Map<String, InventoryWatermark> marks) {
        Map<String, Object> map = new LinkedHashMap<>();
        new TreeMap<>(marks)
                .forEach((runner, mark) -> map.put(
                        runner,
                        new TreeMap<>(Map.of("sequence", mark.sequence(), "runner_epoch", mark.runnerEpoch()))));
        return map;
    }

    private static Map<String, InventoryWatermark> inventoryWatermarks(Fields fields, Set<String> runners) {
        Map<String, InventoryWatermark> marks = new TreeMap<>();
        for (String runner : runners) {
            Fields mark = new Fields(fields.map(runner));
            marks.put(runner, new InventoryWatermark(mark.text("runner_epoch"), mark.integer("sequence")));
        }
        return marks;
    }

    private static Map<String, Object> ledgerEntry(LedgerEntry entry) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("charge", charge(entry.charge()));
        map.put("pool", entry.pool());
        map.put("load_fencing_number", entry.loadFencingNumber());
        map.put("fencing_number", entry.fencingNumber());
        map.put("lease_fencing_number", entry.leaseFencingNumber());
        map.put("unloading", entry.unloading());
        map.put("reserved", entry.reserved());
        map.put("runner_epoch", entry.runnerEpoch());
        map.put("seen_sequence", entry.seenSequence());
        map.put("unanswered_copies", entry.unansweredCopies());
        return map;
    }

    private static LedgerEntry ledgerEntry(Fields fields) {
        return new LedgerEntry(
                charge(new Fields(fields.map("charge"))),
                fields.text("pool"),
                fields.integer("load_fencing_number"),
                fields.integer("fencing_number"),
                fields.integer("lease_fencing_number"),
                fields.flag("unloading"),
                fields.flag("reserved"),
                fields.text("runner_epoch"),
                fields.integer("seen_sequence"),
                Math.toIntExact(fields.integer("unanswered_copies")));
    }

    private static Map<String, Object> charge(Charge charge) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("order_id", charge.orderId());
        map.put("model", charge.model());
        map.put("version", charge.version());
        map.put("runner", charge.runner());
        map.put("accelerators", new ArrayList<>(charge.accelerators()));
        map.put("memory_mib", charge.memoryMib());
        map.put("state", charge.state().name());
        return map;
    }

    private static Charge charge(Fields fields) {
        return new Charge(
                fields.text("order_id"),
                fields.text("model"),
                fields.text("version"),
                fields.text("runner"),
                fields.int32List("accelerators"),
                fields.integer("memory_mib"),
                fields.enumConstant("state", ChargeState.class));
    }
}
