package org.agatehatch.api.catalogue;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against invalid catalogues that are accepted, and problem messages without the line of the invalid entry. */
public final class CatalogueReaderTest {
    private static final Path DOCS = Path.of(System.getProperty("basedir", ".")).resolveSibling("docs");

    /** The text to replace in the sample catalogue, its replacement, and the expected problem. */
    @DataProvider
    public Object[][] faulty_edits() {
        return new Object[][] {
            {"priority: 80", "priority: 101", "classes.counter.priority: found '101'; allowed: integer from 0 to 100"},
            {"priority: 80", "priority: high", "classes.counter.priority: found 'high'; allowed: integer from 0"},
            {"priority: 80", "priority: 0100", "classes.counter.priority: found '0100'; allowed: integer"},
            {"priority: 80", "prio: 80", "classes.counter.prio: found unknown field 'prio'; allowed: fields [priority"},
            {"priority: 80", "prio: 80", "classes.counter.priority: found no value; allowed: integer from 0 to 100"},
            {"priority: 80", "priority:", "classes.counter.priority: found null; allowed: integer"},
            {
                "priority: 80",
                "priority: 80\n    priority: 70",
                "classes.counter.priority: found duplicate key 'priority'"
            },
            {"first_token_ms: 700", "first_token_ms: 40000", "found '40000'; allowed: at most whole_answer_ms"},
            {"  city-tools:", "  city tools:", "owners.city tools: found name 'city tools'; allowed: names that match"},
            {"share: 2", "share: .nan", "owners.city-tools.share: found '.nan'; allowed: number from 0.001 to 1000000"},
            {"share: 2", "share: 0", "owners.city-tools.share: found '0'; allowed: number from 0.001"},
            {"kind: service", "kind: services", "found 'services'; allowed: one of [model, service]"},
            {"kind: service", "kind: model", "pools.order-desk.store_loads_at_once: found '0'; allowed: above 0"},
            {"127.0.0.1:9101", "medeu:9101", "runner-medeu-1.address: found 'medeu:9101'; allowed: IP number and port"},
            {"127.0.0.1:9101", "127.0.0.256:9101", "found '127.0.0.256:9101'; allowed: IP number and port"},
            {"127.0.0.1:9101", "127.0.0.1:70000", "found '127.0.0.1:70000'; allowed: IP number and port"},
            {"127.0.0.1:9101", "'[::g]:1'", "found '[::g]:1'; allowed: IP number and port"},
            {"127.0.0.1:9101", "127.0.0.1:9102", "a unique address; runner-bostandyk-1 has the same one"},
            {"region: almaty\n    pool: b", "region: south\n    pool: b", "almaty, the region of pool bench-advisor"},
            {"accelerators: 8", "accelerators: 0", "found '0'; allowed: at least 1 in a pool of kind model"},
            {"checks_fencing: true", "checks_fencing: yes", "checks_fencing: found 'yes'; allowed: true or false"},
            {"base: counter-8b", "base: counter-9b", "found 'counter-9b'; allowed: the name of an entry in models"},
            {"base: counter-8b", "base: counter-8b-gouges", "allowed: a model that is not an adapter itself"},
            {"class: order", "class: orders", "services.orders.class: found 'orders'; allowed: the name of an entry"},
            {"replicas: 2", "replicas: 0", "found '0'; allowed: at least 1 for a model without base"},
            {"pool: order-desk\n    idem", "pool: bench-advisor\n    idem", "allowed: a pool of kind service"},
            {"[GET, HEAD]", "[GET, FETCH]", "found '[GET, FETCH]'; allowed: list of any of [DELETE"},
            {"[GET, HEAD]", "[GET, [HEAD]]", "allowed: list of any of [DELETE"},
            {"version: 0", "version: -1", "version: found '-1'; allowed: integer of at least 0"},
            {"services:", "servces:", "servces: found unknown section 'servces'; allowed: sections [version, classes"},
            {"services:", "services: [", "document: found invalid YAML"},
            {"services:", "services:\n  <<: 3", "services.<<: found '3'; allowed: a map"},
        };
    }

    @Test(dataProvider = "faulty_edits")
    public void an_invalid_edit_is_reported_with_its_line(String text, String replacement, String expected) {
        String yaml = sample();
        int at = yaml.indexOf(text);
        assertTrue(at >= 0, text);
        int line = (int) yaml.substring(0, at).lines().count();

        CatalogueResult result = CatalogueReader.read(
                "c.yaml", yaml.substring(0, at) + replacement + yaml.substring(at + text.length()));

        assertTrue(result.catalogue().isEmpty());
        String problems = result.problemText();
        assertTrue(problems.contains(expected), problems);
        CatalogueProblem first = result.problems().stream()
                .filter(problem -> problem.toString().contains(expected))
                .findFirst()
                .orElseThrow();
        assertTrue(Math.abs(first.line() - line) <= 5, first + " expected near line " + line);
    }

    @Test
    public void all_problems_are_reported_at_once() {
        String yaml = sample().replace("priority: 80", "priority: -1")
                .replace("share: 2", "share: none")
                .replace("timeout_ms: 5000", "timeout_ms: 0");

        AgatehatchException error = expectThrows(
                AgatehatchException.class,
                () -> CatalogueReader.read("c.yaml", yaml).orThrow());

        assertEquals(error.code(), ErrorCode.INVALID_CATALOGUE);
        assertEquals(error.getMessage().lines().count(), 3);
    }

    @Test
    public void large_files_and_alias_bombs_are_refused() {
        String bomb = "a: &a [x, x]\n" + "b: &b [*a, *a]\n".repeat(60);

        assertFalse(CatalogueReader.read("c.yaml", "#".repeat(CatalogueReader.MAX_CHARACTERS + 1))
                .problems()
                .isEmpty());
        assertTrue(CatalogueReader.read("c.yaml", bomb).problemText().contains("aliases"));
        assertTrue(CatalogueReader.read("c.yaml", "a: ".repeat(3) + "[".repeat(1000))
                .catalogue()
                .isEmpty());
    }

    @Test
    public void a_written_catalogue_reads_back_equal_and_is_written_identically_again() {
        Catalogue catalogue = CatalogueReader.read("c.yaml", sample()).orThrow();

        String written = CatalogueWriter.write(catalogue);
        Catalogue readBack = CatalogueReader.read("written", written).orThrow();

        assertEquals(readBack, catalogue);
        assertEquals(CatalogueWriter.write(readBack), written);
        assertEquals(catalogue.models().get("history-reader-14b").version(), "1.10");
        assertTrue(FitCheck.check(catalogue).fits());
    }

    @Test
    public void the_published_schema_matches_the_reader() throws IOException {
        assertEquals(Files.readString(DOCS.resolve("catalogue-schema.json")), CatalogueSchema.json());
    }

    @Test
    public void a_diff_holds_changed_entries_only_and_leads_to_the_new_catalogue() {
        Catalogue before = CatalogueReader.read("c.yaml", sample()).orThrow();
        Catalogue after = CatalogueReader.read(
                        "c.yaml",
                        sample().replace("share: 2", "share: 3").replace("counter-8b-gouges:", "counter-8b-rasps:"))
                .orThrow();

        CatalogueDiff diff = CatalogueDiff.between(before, after);

        assertEquals(diff.upserts().keySet().toString(), "[owners, models]");
        assertEquals(diff.removals(), Map.of("models", List.of("counter-8b-gouges")));
        assertEquals(diff.applyTo(before, after.version()).orThrow(), after);
        assertTrue(diff.toText(before).contains("~ owners.city-tools.share: 2.0 -> 3.0"));
        assertTrue(diff.toText(before).contains("- models.counter-8b-gouges"));
    }

    @Test
    public void a_diff_from_a_newer_node_is_applied_without_unknown_sections_and_fields() {
        Catalogue catalogue = CatalogueReader.read("c.yaml", sample()).orThrow();
        CatalogueDiff diff = new CatalogueDiff(
                Map.of(
                        "owners", Map.of("new", Map.of("share", 1L, "max_queued_requests", 5L, "colour", "blue")),
                        "tariffs", Map.of("t", Map.of("price", 3L))),
                Map.of());

        assertEquals(diff.applyTo(catalogue, 1).orThrow().owners().get("new"), new Owner("new", 1, 5, 0));
    }

    @Test
    public void removing_a_referenced_or_missing_entry_is_refused() {
        Catalogue catalogue = CatalogueReader.read("c.yaml", sample()).orThrow();
        CatalogueDiff diff =
                new CatalogueDiff(Map.of(), Map.of("models", List.of("counter-8b"), "owners", List.of("nobody")));

        String problems = diff.applyTo(catalogue, 1).problemText();

        assertTrue(problems.contains("owners.nobody: found removal of an entry that does not exist"), problems);
        assertTrue(problems.contains("models.counter-8b-chisels.base: found 'counter-8b'"), problems);
    }

    @Test
    public void models_that_need_memory_of_two_accelerators_combined_do_not_fit() {
        // 6 runners x 8 accelerators x 81,920 MiB: 48 models of 41,000 MiB fit; for a 49th, no accelerator has enough
        // memory.
        Catalogue catalogue = CatalogueReader.read("c.yaml", sample()).orThrow();
        Map<String, ModelEntry> models = new HashMap<>();
        for (int i = 0; i < 49; i++) {
            ModelEntry pattern = catalogue.models().get("counter-8b");
            models.put(
                    "m" + i,
                    new ModelEntry(
                            "m" + i,
                            pattern.base(),
                            pattern.owner(),
                            pattern.requestClass(),
                            pattern.pool(),
                            "1",
                            41_000,
                            1,
                            1,
                            10,
                            true));
        }
        Catalogue crowded = new Catalogue(
                1,
                catalogue.classes(),
                catalogue.owners(),
                catalogue.pools(),
                catalogue.backendServers(),
                models,
                Map.of());

        assertEquals(FitCheck.check(crowded).unplaced(), List.of("m9"));
    }

    static String sample() {
        try {
            return Files.readString(DOCS.resolve("examples/catalogue.yaml"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
