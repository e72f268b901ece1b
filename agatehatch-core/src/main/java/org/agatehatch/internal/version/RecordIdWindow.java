package org.agatehatch.internal.version;

import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.agatehatch.api.errors.ErrorCode;

/**
 * Decisions on the most recent records by record id, so that a repeated record takes effect only once.
 *
 * <p>Ids are stored as 64-bit hashes to keep snapshots small. The probability that the hash of a new record collides
 * with a stored one is 3e-15.
 */
final class RecordIdWindow {
    /**
     * Maximum number of stored ids. A writer stops retrying a record after at most 60 s. The log accepts at most some
     * hundred appends a second over all streams, of which {@code control} receives about 40 (design 4.8): at 500
     * records a second the window covers 100 s. Only drains and strikes rely on the window alone; all other records
     * also carry a base version, an expected offset or a fencing number, which no longer matches when a late duplicate
     * arrives.
     */
    static final int MAX_IDS = 50_000;

    private static final int ENTRY_BYTES = Long.BYTES + Long.BYTES + 1;

    private final Map<Long, Decision> decisions = new LinkedHashMap<>();

    Optional<Decision> get(String recordId) {
        return Optional.ofNullable(decisions.get(hash(recordId)));
    }

    void add(String recordId, long offset, Acceptance acceptance) {
        decisions.put(hash(recordId), new Decision(offset, acceptance));
        if (decisions.size() > MAX_IDS) {
            Iterator<Long> oldest = decisions.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(decisions.size() * ENTRY_BYTES);
        decisions.forEach(
                (id, decision) -> buffer.putLong(id).putLong(decision.offset()).put((byte)
                        (decision.acceptance().accepted() ? 1 : 0)));
        return buffer.array();
    }

    static RecordIdWindow decode(byte[] bytes) {
        if (bytes.length % ENTRY_BYTES != 0) {
            throw new IllegalArgumentException(
                    "record ids take " + bytes.length + " bytes, expected a multiple of " + ENTRY_BYTES);
        }
        RecordIdWindow window = new RecordIdWindow();
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            long id = buffer.getLong();
            long offset = buffer.getLong();
            Acceptance acceptance = buffer.get() == 1 ? Acceptance.ACCEPTED : refusedBeforeSnapshot(offset);
            window.decisions.put(id, new Decision(offset, acceptance));
        }
        return window;
    }

    private static Acceptance refusedBeforeSnapshot(long offset) {
        return Acceptance.refused(
                ErrorCode.VERSION_CONFLICT,
                "the record was refused at offset " + offset + "; the reason is not part of the snapshot");
    }

    private static long hash(String recordId) {
        return LongHashFunction.xx3().hashChars(recordId);
    }

    /** Decision on a record, and the offset at which the record first appeared. */
    record Decision(long offset, Acceptance acceptance) {}
}
