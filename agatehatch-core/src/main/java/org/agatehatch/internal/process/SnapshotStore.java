package org.agatehatch.internal.process;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import net.openhft.hashing.LongHashFunction;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogRecord;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;
import org.agatehatch.internal.version.record.MessagePackValues.MalformedValueException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stores snapshots in the stream {@code snapshots}, compressed and split into parts that fit into records. */
public final class SnapshotStore {
    private static final Logger log = LoggerFactory.getLogger(SnapshotStore.class);

    private static final int PART_BYTES = 200 * 1024;
    private static final int MAX_PARTS = 128;
    /** Limits the decompressed size of malformed records. The state at design size took 1.5 MB. */
    private static final int MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024;

    /** Records of a window, together at most 3.2 MB. A snapshot at design size took four records. */
    private static final int WINDOW_RECORDS = 16;
    /** Maximum number of windows that a search reads; the newest snapshot is normally in the first one. */
    private static final int MAX_WINDOWS = 32;

    private final AppendLog appendLog;

    public SnapshotStore(AppendLog appendLog) {
        this.appendLog = appendLog;
    }

    /** Appends a snapshot part by part. Readers ignore a snapshot whose parts are not all stored. */
    public CompletionStage<Void> write(String snapshotId, long throughOffset, byte[] snapshot) {
        byte[] compressed = compress(snapshot);
        int parts = (compressed.length + PART_BYTES - 1) / PART_BYTES;
        CompletionStage<Void> written = CompletableFuture.completedFuture(null);
        for (int part = 0; part < parts; part++) {
            int from = part * PART_BYTES;
            Map<String, Object> record = new LinkedHashMap<>();
            record.put("snapshot_id", snapshotId);
            record.put("through_offset", throughOffset);
            record.put("part", part);
            record.put("parts", parts);
            record.put("hash", LongHashFunction.xx3().hashBytes(snapshot));
            record.put("data", Arrays.copyOfRange(compressed, from, Math.min(compressed.length, from + PART_BYTES)));
            byte[] payload = MessagePackValues.encode(record);
            written = written.thenCompose(ignored -> appendLog.append(LogStreams.SNAPSHOTS, payload))
                    .thenAccept(offset -> {});
        }
        return written;
    }

    /** Returns the complete snapshot that covers the highest offset of the control stream; empty if there is none. */
    public CompletionStage<Optional<byte[]>> newest() {
        return appendLog
                .read(LogStreams.SNAPSHOTS, 0, 1, Duration.ZERO)
                .thenCompose(batch -> search(new HashMap<>(), batch.oldestOffset(), batch.endOffset(), MAX_WINDOWS));
    }

    // Reads windows of records from the newest one backwards until one of them completes a snapshot.
    private CompletionStage<Optional<byte[]>> search(
            Map<String, List<Part>> partsById, long oldestOffset, long windowEnd, int windowsLeft) {
        long from = Math.max(oldestOffset, windowEnd - WINDOW_RECORDS);
        return LogScan.range(appendLog, LogStreams.SNAPSHOTS, from, windowEnd, record -> addPart(partsById, record))
                .thenCompose(ignored -> {
                    Optional<byte[]> snapshot = newestComplete(partsById);
                    return snapshot.isPresent() || from <= oldestOffset || windowsLeft <= 1
                            ? CompletableFuture.completedFuture(snapshot)
                            : search(partsById, oldestOffset, from, windowsLeft - 1);
                });
    }

    private static void addPart(Map<String, List<Part>> partsById, LogRecord record) {
        try {
            Fields fields = new Fields(MessagePackValues.decode(record.payload()));
            Part part = new Part(
                    fields.integer("through_offset"),
                    fields.int32("part"),
                    fields.int32("parts"),
                    fields.integer("hash"),
                    fields.bytes("data"));
            partsById
                    .computeIfAbsent(fields.text("snapshot_id"), ignored -> new ArrayList<>())
                    .add(part);
        } catch (MalformedValueException | IllegalArgumentException e) {
            log.warn("skipping malformed snapshot record at offset {}: {}", record.offset(), e.getMessage());
        }
    }

    private static Optional<byte[]> newestComplete(Map<String, List<Part>> partsById) {
        return partsById.values().stream()
                .sorted(Comparator.comparingLong(
                                (List<Part> parts) -> parts.get(0).throughOffset())
                        .reversed())
                .map(SnapshotStore::join)
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<byte[]> join(List<Part> parts) {
        Part first = parts.get(0);
        if (first.parts() < 1 || first.parts() > MAX_PARTS) {
            return Optional.empty();
        }
        Map<Integer, Part> byNumber = new HashMap<>();
        parts.forEach(part -> byNumber.put(part.part(), part));
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        for (int number = 0; number < first.parts(); number++) {
            if (!byNumber.containsKey(number)) {
                return Optional.empty();
            }
            compressed.writeBytes(byNumber.get(number).data());
        }
        return decompress(compressed.toByteArray())
                .filter(bytes -> LongHashFunction.xx3().hashBytes(bytes) == first.hash());
    }

    private static byte[] compress(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[16 * 1024];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static Optional<byte[]> decompress(byte[] compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[16 * 1024];
            while (!inflater.finished() && out.size() <= MAX_SNAPSHOT_BYTES) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    return Optional.empty();
                }
                out.write(buffer, 0, count);
            }
            return inflater.finished() ? Optional.of(out.toByteArray()) : Optional.empty();
        } catch (DataFormatException e) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }

    @SuppressWarnings("ArrayRecordComponent") // Parts are joined, never compared.
    private record Part(long throughOffset, int part, int parts, long hash, byte[] data) {}
}
