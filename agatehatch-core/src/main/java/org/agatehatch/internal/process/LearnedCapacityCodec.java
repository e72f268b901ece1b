package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.List;
import org.agatehatch.internal.version.record.Fields;

/** Encodes learned values in reports. Each is a list, since names of fields would double its size. */
final class LearnedCapacityCodec {
    /** Logarithms are sent in thousandths. */
    private static final double LOG_SCALE = 1_000;

    /** Larger values are not from a node of this system. */
    private static final long MAX_COUNT = 1_000_000;

    private static final int FIELD_COUNT = 8;

    private LearnedCapacityCodec() {}

    /** Returns the values as lists that a message may contain. */
    static List<Object> fields(List<LearnedCapacity> learned) {
        List<Object> entries = new ArrayList<>(learned.size());
        for (LearnedCapacity value : learned) {
            entries.add(List.of(
                    value.service(),
                    value.process(),
                    value.model(),
                    (long) value.kind().ordinal(),
                    Math.round(value.log() * LOG_SCALE),
                    (long) value.answers(),
                    (long) value.inFlight(),
                    Math.round(value.work())));
        }
        return entries;
    }

    /**
     * Returns the values of a field. There are none if the field is missing, as in messages of nodes of earlier versions. Values
     * that a later version may have added are left out, as are those beyond the bound of a message.
     */
    static List<LearnedCapacity> decode(Fields message, String field) {
        if (!message.has(field)) {
            return List.of();
        }
        List<LearnedCapacity> learned = new ArrayList<>();
        for (List<?> entry : message.list(field, List.class)) {
            if (learned.size() < CapacityExchange.MAX_IN_MESSAGE && isKnown(entry)) {
                learned.add(value(entry));
            }
        }
        return learned;
    }

    private static boolean isKnown(List<?> entry) {
        return entry.size() >= FIELD_COUNT
                && entry.subList(0, 3).stream().allMatch(String.class::isInstance)
                && entry.subList(3, FIELD_COUNT).stream().allMatch(Long.class::isInstance)
                && number(entry, 3) >= 0
                && number(entry, 3) < LearnedCapacity.Kind.values().length
                && isCount(number(entry, 5), 1)
                && isCount(number(entry, 6), 0)
                && isCount(number(entry, 7), 0);
    }

    private static boolean isCount(long value, long lowest) {
        return value >= lowest && value <= MAX_COUNT;
    }

    private static LearnedCapacity value(List<?> entry) {
        return new LearnedCapacity(
                (String) entry.get(0),
                (String) entry.get(1),
                (String) entry.get(2),
                LearnedCapacity.Kind.values()[(int) number(entry, 3)],
                number(entry, 4) / LOG_SCALE,
                (int) number(entry, 5),
                (int) number(entry, 6),
                number(entry, 7));
    }

    private static long number(List<?> entry, int index) {
        return (Long) entry.get(index);
    }
}
