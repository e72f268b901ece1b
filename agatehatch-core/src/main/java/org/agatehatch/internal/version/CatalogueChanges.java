package org.agatehatch.internal.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueDiff;
import org.agatehatch.internal.version.record.MessagePackValues;
import org.agatehatch.internal.version.record.RecordBatchCodec;
import org.agatehatch.internal.version.record.StateRecord.CatalogueChange;

/** Converts differences of catalogues to and from log records. */
public final class CatalogueChanges {
    /** Half of the batch limit, so that a change and its envelope always fit a batch. */
    private static final int MAX_CHANGE_BYTES = RecordBatchCodec.MAX_BATCH_BYTES / 2;

    private CatalogueChanges() {}

    /** Returns the difference that a change record contains. */
    public static CatalogueDiff diff(CatalogueChange change) {
        return new CatalogueDiff(change.upserts(), change.removals());
    }

    /**
     * Returns the changes that turn the current catalogue into the wanted one, to be appended in this order. A
     * difference that is too large for a batch is split: upserts come in the order of the sections, so that the
     * catalogue is valid after each change, and removals come last.
     */
    public static List<CatalogueChange> between(
            Catalogue current, Catalogue wanted, String operator, Supplier<String> recordIds) {
        CatalogueDiff diff = CatalogueDiff.between(current, wanted);
        if (diff.isEmpty()) {
            return List.of();
        }
        List<CatalogueDiff> parts = sizeBytes(diff) <= MAX_CHANGE_BYTES ? List.of(diff) : split(diff);
        List<CatalogueChange> changes = new ArrayList<>();
        for (CatalogueDiff part : parts) {
            changes.add(new CatalogueChange(
                    recordIds.get(), current.version() + changes.size(), operator, part.upserts(), part.removals()));
        }
        return changes;
    }

    private static List<CatalogueDiff> split(CatalogueDiff diff) {
        List<CatalogueDiff> parts = new ArrayList<>();
        Map<String, Map<String, Map<String, Object>>> upserts = new LinkedHashMap<>();
        int bytes = 0;
        for (Map.Entry<String, Map<String, Map<String, Object>>> section :
                diff.upserts().entrySet()) {
            for (Map.Entry<String, Map<String, Object>> entry : baseModelsFirst(section.getValue())) {
                int entryBytes = entry.getKey().length() + MessagePackValues.encode(entry.getValue()).length;
                if (bytes + entryBytes > MAX_CHANGE_BYTES) {
                    parts.add(new CatalogueDiff(upserts, Map.of()));
                    upserts = new LinkedHashMap<>();
                    bytes = 0;
                }
                upserts.computeIfAbsent(section.getKey(), ignored -> new LinkedHashMap<>())
                        .put(entry.getKey(), entry.getValue());
                bytes += entryBytes;
            }
        }
        if (!upserts.isEmpty()) {
            parts.add(new CatalogueDiff(upserts, Map.of()));
        }
        if (!diff.removals().isEmpty()) {
            parts.add(new CatalogueDiff(Map.of(), diff.removals()));
        }
        return parts;
    }

    // An adapter is valid only if its base model is already in the catalogue.
    private static List<Map.Entry<String, Map<String, Object>>> baseModelsFirst(
            Map<String, Map<String, Object>> entries) {
        List<Map.Entry<String, Map<String, Object>>> sorted = new ArrayList<>(entries.entrySet());
        sorted.sort(Comparator.comparing(entry -> entry.getValue().containsKey("base")));
        return sorted;
    }

    private static int sizeBytes(CatalogueDiff diff) {
        return MessagePackValues.encode(List.of(diff.upserts(), diff.removals())).length;
    }
}
