package org.agatehatch.internal.version;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueDiff;
import org.agatehatch.api.catalogue.CatalogueReader;
import org.agatehatch.internal.version.record.StateRecord.CatalogueChange;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;

/** Records and catalogues shared by tests. */
public final class TestRecords {
    private TestRecords() {}

    public static Catalogue sampleCatalogue() {
        Path sample = Path.of(System.getProperty("basedir", ".")).resolveSibling("docs/examples/catalogue.yaml");
        try {
            return CatalogueReader.read("sample", Files.readString(sample)).orThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static CatalogueChange importOf(Catalogue catalogue) {
        CatalogueDiff diff = CatalogueDiff.between(Catalogue.EMPTY, catalogue);
        return new CatalogueChange("import", 0, "aigerim", diff.upserts(), diff.removals());
    }

    public static CatalogueChange ownerChange(String recordId, long baseVersion, String owner) {
        Map<String, Object> fields = Map.of("share", 1.0, "max_queued_requests", 10L);
        return new CatalogueChange(recordId, baseVersion, "aigerim", Map.of("owners", Map.of(owner, fields)), Map.of());
    }

    public static PlacementIntent load(String orderId, long fencingNumber, String runner) {
        return intent(IntentKind.LOAD, orderId, fencingNumber, runner);
    }

    /** Returns an ADOPT intent. It is accepted even if the runner already has a charge for the model. */
    public static PlacementIntent adopt(String orderId, long fencingNumber, String runner) {
        return intent(IntentKind.ADOPT, orderId, fencingNumber, runner);
    }

    private static PlacementIntent intent(IntentKind kind, String orderId, long fencingNumber, String runner) {
        return new PlacementIntent(
                "intent-" + orderId,
                "bench-advisor",
                fencingNumber,
                kind,
                orderId,
                "counter-8b",
                "7",
                runner,
                List.of(0),
                20_480,
                "",
                "test");
    }
}
