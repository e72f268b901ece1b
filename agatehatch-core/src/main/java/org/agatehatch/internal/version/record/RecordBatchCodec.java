package org.agatehatch.internal.version.record;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.version.record.MessagePackValues.MalformedValueException;
import org.agatehatch.internal.version.record.StateRecord.CatalogueChange;
import org.agatehatch.internal.version.record.StateRecord.DrainSet;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.LeaseRelease;
import org.agatehatch.internal.version.record.StateRecord.LeaseRenew;
import org.agatehatch.internal.version.record.StateRecord.LeaseTake;
import org.agatehatch.internal.version.record.StateRecord.OrderSettled;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.agatehatch.internal.version.record.StateRecord.SettledOutcome;
import org.agatehatch.internal.version.record.StateRecord.Strike;

/**
 * Encodes batches of records as a MessagePack list of {@code [type, version, body map]}. Decoding ignores unknown
 * record types, unknown fields and record versions above {@link #RECORD_VERSION}.
 */
public final class RecordBatchCodec {
    /**
     * Maximum size of an encoded batch. Equals the frame limit between nodes, so that a batch is forwarded in one
     * frame.
     */
    public static final int MAX_BATCH_BYTES = 256 * 1024;
    /** Version of the records that this codec writes. Raised by a change that older decoders would misinterpret. */
    public static final int RECORD_VERSION = 1;

    private static final Map<String, Function<Fields, StateRecord>> DECODERS = Map.of(
            "catalogue_change", RecordBatchCodec::catalogueChange,
            "lease_take", RecordBatchCodec::leaseTake,
            "lease_renew",
                    body -> new LeaseRenew(body.text("record_id"), body.text("lease"), body.integer("fencing_number")),
            "lease_release",
                    body -> new LeaseRelease(
                            body.text("record_id"), body.text("lease"), body.integer("fencing_number")),
            "placement_intent", RecordBatchCodec::placementIntent,
            "order_settled", RecordBatchCodec::orderSettled,
            "drain_set", RecordBatchCodec::drainSet,
            "strike", RecordBatchCodec::strike);

    private RecordBatchCodec() {}

    /**
     * Encodes a batch.
     *
     * @throws AgatehatchException {@code REQUEST_TOO_LARGE} above {@link #MAX_BATCH_BYTES}
     */
    public static byte[] encode(List<StateRecord> records) {
        byte[] payload = MessagePackValues.encode(
                records.stream().map(RecordBatchCodec::toValue).toList());
        if (payload.length > MAX_BATCH_BYTES) {
            throw new AgatehatchException(
                    ErrorCode.REQUEST_TOO_LARGE,
                    "encode",
                    "self",
                    Outcome.NOT_RUN,
                    "batch of " + records.size() + " records takes " + payload.length + " bytes, the limit is "
                            + MAX_BATCH_BYTES + "; split the change into smaller ones");
        }
        return payload;
    }

    /**
     * Decodes a batch and returns the records that this version knows.
     *
     * @throws AgatehatchException {@code BAD_FRAME} if the bytes are not a batch
     */
    public static List<StateRecord> decode(byte[] payload) {
        if (payload.length > MAX_BATCH_BYTES) {
            throw badFrame("batch takes " + payload.length + " bytes, the limit is " + MAX_BATCH_BYTES, null);
        }
        try {
            List<StateRecord> records = new ArrayList<>();
            for (Object item : Fields.items("batch", MessagePackValues.decode(payload), Object.class)) {
                record(item).ifPresent(records::add);
            }
            return records;
        } catch (MalformedValueException | IllegalArgumentException | ArithmeticException e) {
            throw badFrame(e.getMessage(), e);
        }
    }

    private static Optional<StateRecord> record(Object item) {
        if (!(item instanceof List<?> elements) || elements.size() < 3) {
            throw new IllegalArgumentException("record is not a list of [type, version, body]");
        }
        if (!(elements.get(0) instanceof String type) || !(elements.get(1) instanceof Long version)) {
            throw new IllegalArgumentException("record type is not text, or record version is not an integer");
        }
        Function<Fields, StateRecord> decoder = DECODERS.get(type);
        if (decoder == null || version > RECORD_VERSION) {
            return Optional.empty();
        }
        return Optional.of(decoder.apply(new Fields(elements.get(2))));
    }

    private static Object toValue(StateRecord record) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("record_id", record.recordId());
        return List.of(writeBody(record, body), RECORD_VERSION, body);
    }

    private static String writeBody(StateRecord record, Map<String, Object> body) {
        if (record instanceof CatalogueChange change) {
            body.put("base_version", change.baseVersion());
            body.put("operator", change.operator());
            body.put("upserts", change.upserts());
            body.put("removals", change.removals());
            return "catalogue_change";
        }
        if (record instanceof LeaseTake take) {
            body.put("lease", take.lease());
            body.put("node", take.node());
            body.put("incarnation", take.incarnation());
            body.put("expected_renewal_offset", take.expectedRenewalOffset());
            return "lease_take";
        }
        if (record instanceof LeaseRenew renew) {
            body.put("lease", renew.lease());
            body.put("fencing_number", renew.fencingNumber());
            return "lease_renew";
        }
        if (record instanceof LeaseRelease release) {
            body.put("lease", release.lease());
            body.put("fencing_number", release.fencingNumber());
            return "lease_release";
        }
        if (record instanceof PlacementIntent intent) {
            writeIntent(intent, body);
            return "placement_intent";
        }
        if (record instanceof OrderSettled settled) {
            writeSettled(settled, body);
            return "order_settled";
        }
        if (record instanceof DrainSet drain) {
            body.put("backend_server", drain.backendServer());
            body.put("draining", drain.draining());
            body.put("operator", drain.operator());
            return "drain_set";
        }
        Strike strike = (Strike) record;
        body.put("fingerprint", strike.fingerprint());
        body.put("backend_server", strike.backendServer());
        body.put("runner_epoch", strike.runnerEpoch());
        return "strike";
    }

    private static void writeIntent(PlacementIntent intent, Map<String, Object> body) {
        body.put("pool", intent.pool());
        body.put("lease_fencing_number", intent.leaseFencingNumber());
        body.put("kind", intent.kind().name());
        body.put("order_id", intent.orderId());
        body.put("model", intent.model());
        body.put("version", intent.version());
        body.put("runner", intent.runner());
        body.put("accelerators", intent.accelerators());
        body.put("memory_mib", intent.memoryMib());
        body.put("role", intent.role());
        body.put("reason", intent.reason());
    }

    private static void writeSettled(OrderSettled settled, Map<String, Object> body) {
        body.put("pool", settled.pool());
        body.put("lease_fencing_number", settled.leaseFencingNumber());
        body.put("order_id", settled.orderId());
        body.put("outcome", settled.outcome().name());
        body.put("runner_epoch", settled.runnerEpoch());
        body.put("inventory_sequence", settled.inventorySequence());
        body.put("unanswered_copies", settled.unansweredCopies());
    }

    private static CatalogueChange catalogueChange(Fields body) {
        Map<String, Map<String, Map<String, Object>>> upserts = new LinkedHashMap<>();
        body.map("upserts").forEach((section, entries) -> {
            Map<String, Map<String, Object>> byName = new LinkedHashMap<>();
            Fields.stringKeys(section, entries)
                    .forEach((name, entry) -> byName.put(name, Fields.stringKeys(name, entry)));
            upserts.put(section, byName);
        });
        Map<String, List<String>> removals = new LinkedHashMap<>();
        body.map("removals")
                .forEach((section, names) -> removals.put(section, Fields.items(section, names, String.class)));
        return new CatalogueChange(
                body.text("record_id"), body.integer("base_version"), body.text("operator"), upserts, removals);
    }

    private static LeaseTake leaseTake(Fields body) {
        return new LeaseTake(
                body.text("record_id"),
                body.text("lease"),
                body.text("node"),
                body.text("incarnation"),
                body.integer("expected_renewal_offset"));
    }

    private static PlacementIntent placementIntent(Fields body) {
        return new PlacementIntent(
                body.text("record_id"),
                body.text("pool"),
                body.integer("lease_fencing_number"),
                body.enumConstant("kind", IntentKind.class),
                body.text("order_id"),
                body.text("model"),
                body.text("version"),
                body.text("runner"),
                body.int32List("accelerators"),
                body.integer("memory_mib"),
                body.text("role"),
                body.text("reason"));
    }

    private static OrderSettled orderSettled(Fields body) {
        return new OrderSettled(
                body.text("record_id"),
                body.text("pool"),
                body.integer("lease_fencing_number"),
                body.text("order_id"),
                body.enumConstant("outcome", SettledOutcome.class),
                body.text("runner_epoch"),
                body.integer("inventory_sequence"),
                body.int32("unanswered_copies"));
    }

    private static DrainSet drainSet(Fields body) {
        return new DrainSet(
                body.text("record_id"), body.text("backend_server"), body.flag("draining"), body.text("operator"));
    }

    private static Strike strike(Fields body) {
        return new Strike(
                body.text("record_id"),
                body.integer("fingerprint"),
                body.text("backend_server"),
                body.text("runner_epoch"));
    }

    private static AgatehatchException badFrame(String cause, Exception exception) {
        return new AgatehatchException(
                ErrorCode.BAD_FRAME,
                "decode",
                "self",
                Outcome.NOT_RUN,
                "cannot decode record batch: " + cause + "; check what else writes to this stream",
                exception);
    }
}
