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
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;
import org.agatehatch.internal.version.record.MessagePackValues.MalformedValueException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps snapshots in the stream {@code snapshots}: compressed, and in parts that fit into records. */
public final class SnapshotStore {
    private static final Logger log = LoggerFactory.getLogger(SnapshotStore.class);

    private static final int PART_BYTES = 200 * 1024;
    private static final int MAX_PARTS = 128;
    /** Largest snapshot that is unpacked, against malformed records. The state at design size took 1.5 MB. */
    private static final int MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024;

    /** Records of one read, at most 3.2 MB. A snapshot at design size took four records. */
    private static final int READ_RECORDS = 16;
    /** Most windows that a search goes back over; the newest snapshot is normally in the first one. */
    private static final int MAX_WINDOWS = 32;

    private final AppendLog appendLog;

    public SnapshotStore(AppendLog appendLog) {
        this.appendLog = appendLog;
    }

    /** Appends a snapshot, part after part. A snapshot whose parts are not all stored is ignored by readers. */
    public CompletionStage<Void> write(String snapshotId, long throughOffset, byte[] snapshot) {
        byte[] packed = deflate(snapshot);
        int parts = (packed.length + PART_BYTES - 1) / PART_BYTES;
        CompletionStage<Void> written = CompletableFuture.completedFuture(null);
        for (int part = 0; part < parts; part++) {
            int from = part * PART_BYTES;
            Map<String, Object> record = new LinkedHashMap<>();
            record.put("snapshot_id", snapshotId);
            record.put("through_offset", throughOffset);
            record.put("part", part);
            record.put("parts", parts);
            record.put("hash", LongHashFunction.xx3().hashBytes(snapshot));
            record.put("data", Arrays.copyOfRange(packed, from, Math.min(packed.length, from + PART_BYTES)));
            byte[] payload = MessagePackValues.encode(record);
            written = written.thenCompose(ignored -> appendLog.append(LogStreams.SNAPSHOTS, payload))
                    .thenAccept(offset -> {});
        }
        return written;
    }

    /** Returns the readable snapshot that is furthest in the control stream; empty if there is none. */
    public CompletionStage<Optional<byte[]>> newest() {
        return appendLog
                .read(LogStreams.SNAPSHOTS, 0, 1, Duration.ZERO)
                .thenCompose(batch -> search(new HashMap<>(), batch.oldestOffset(), batch.endOffset(), MAX_WINDOWS));
    }

    // Reads the windows from the newest one back, until one completes a snapshot.
    private CompletionStage<Optional<byte[]>> search(
            Map<String, List<Part>> found, long oldestOffset, long windowEnd, int windowsLeft) {
        long from = Math.max(oldestOffset, windowEnd - READ_RECORDS);
        return readWindow(found, from, windowEnd).thenCompose(ignored -> {
            Optional<byte[]> snapshot = furthest(found);
            return snapshot.isPresent() || from <= oldestOffset || windowsLeft <= 1
                    ? CompletableFuture.completedFuture(snapshot)
                    : search(found, oldestOffset, from, windowsLeft - 1);
        });
    }

    private CompletionStage<Void> readWindow(Map<String, List<Part>> found, long from, long windowEnd) {
        if (from >= windowEnd) {
            return CompletableFuture.completedFuture(null);
        }
        int wanted = (int) (windowEnd - from);
        return appendLog.read(LogStreams.SNAPSHOTS, from, wanted, Duration.ZERO).thenCompose(batch -> {
            batch.records().forEach(record -> addPart(found, record));
            return batch.records().isEmpty()
                    ? CompletableFuture.completedFuture(null)
                    : readWindow(found, lastOffset(batch) + 1, windowEnd);
        });
    }

    private static long lastOffset(LogBatch batch) {
        return batch.records().get(batch.records().size() - 1).offset();
    }

    private static void addPart(Map<String, List<Part>> found, LogRecord record) {
        try {
            Fields fields = new Fields(MessagePackValues.decode(record.payload()));
            Part part = new Part(
                    fields.integer("through_offset"),
                    fields.int32("part"),
                    fields.int32("parts"),
                    fields.integer("hash"),
                    fields.bytes("data"));
            found.computeIfAbsent(fields.text("snapshot_id"), ignored -> new ArrayList<>())
                    .add(part);
        } catch (MalformedValueException | IllegalArgumentException e) {
            log.warn("snapshot record at offset {} is skipped: {}", record.offset(), e.getMessage());
        }
    }

    private static Optional<byte[]> furthest(Map<String, List<Part>> found) {
        return found.values().stream()
                .sorted(Comparator.comparingLong(
                                (List<Part> parts) -> parts.get(0).throughOffset())
                        .reversed())
                .map(SnapshotStore::join)
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<byte[]> join(List<Part> found) {
        Part first = found.get(0);
        if (first.parts() < 1 || first.parts() > MAX_PARTS) {
            return Optional.empty();
        }
        Map<Integer, Part> byNumber = new HashMap<>();
        found.forEach(part -> byNumber.put(part.part(), part));
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        for (int number = 0; number < first.parts(); number++) {
            if (!byNumber.containsKey(number)) {
                return Optional.empty();
            }
            packed.writeBytes(byNumber.get(number).data());
        }
        return inflate(packed.toByteArray())
                .filter(bytes -> LongHashFunction.xx3().hashBytes(bytes) == first.hash());
    }

    private static byte[] deflate(byte[] bytes) {
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

    private static Optional<byte[]> inflate(byte[] packed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(packed);
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
