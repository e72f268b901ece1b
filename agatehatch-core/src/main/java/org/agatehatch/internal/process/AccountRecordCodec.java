package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes and decodes account records as MessagePack batches. Decoding skips unknown record types and fields. */
public final class AccountRecordCodec {
    private static final String TYPE = "account";
    private static final int VERSION = 1;

    private AccountRecordCodec() {}

    public static byte[] encode(List<AccountRecord> records) {
        return BatchCodec.encode(
                records.stream().map(AccountRecordCodec::toTyped).toList());
    }

    /** Decodes a batch of records. Fails with {@code BAD_FRAME} on malformed input. */
    public static List<AccountRecord> decode(byte[] payload) {
        List<AccountRecord> records = new ArrayList<>();
        for (TypedRecord typed : BatchCodec.decode(payload)) {
            if (typed.type().equals(TYPE)) {
                records.add(toRecord(typed));
            }
        }
        return records;
    }

    private static TypedRecord toTyped(AccountRecord record) {
        Map<String, Object> owners = new LinkedHashMap<>();
        record.countersByOwner()
                .forEach((owner, counters) -> owners.put(
                        owner,
                        List.of(
                                counters.requests(),
                                counters.promptTokens(),
                                counters.outputTokens(),
                                counters.acceleratorMillisGiven(),
                                counters.acceleratorMillisTaken())));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("node", record.node());
        body.put("incarnation", record.incarnation());
        body.put("sequence", record.sequence());
        body.put("last", record.last());
        body.put("owners", owners);
        return new TypedRecord(TYPE, VERSION, body);
    }

    private static AccountRecord toRecord(TypedRecord typed) {
        Map<String, AccountCounters> owners = new LinkedHashMap<>();
        for (Map.Entry<?, ?> entry : typed.map("owners").entrySet()) {
            owners.put((String) entry.getKey(), toCounters(entry.getValue()));
        }
        return new AccountRecord(
                typed.text("node"), typed.text("incarnation"), typed.number("sequence"), typed.flag("last"), owners);
    }

    private static AccountCounters toCounters(Object value) {
        long[] fields = new long[5];
        if (!(value instanceof List<?> list) || list.size() < fields.length) {
            throw TypedRecord.badFrame("an owner's counters are not a list of " + fields.length + " numbers", null);
        }
        for (int i = 0; i < fields.length; i++) {
            if (!(list.get(i) instanceof Long number) || number < 0) {
                throw TypedRecord.badFrame("an owner's counter is not a non-negative number", null);
            }
            fields[i] = number;
        }
        return new AccountCounters(fields[0], fields[1], fields[2], fields[3], fields[4]);
    }
}
