package org.agatehatch.api.catalogue;

import java.util.LinkedHashMap;
import java.util.Map;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.Yaml;

/** Writes a catalogue as YAML: sections and fields in the order of the schema, entries by name. */
public final class CatalogueWriter {
    private CatalogueWriter() {}

    /** Returns YAML that {@link CatalogueReader} reads as an equal catalogue. */
    public static String write(Catalogue catalogue) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put(CatalogueReader.VERSION_FIELD, catalogue.version());
        for (CatalogueSection<?> section : CatalogueSections.ALL) {
            Map<String, Map<String, Object>> entries = section.toFields(catalogue);
            if (!entries.isEmpty()) {
                document.put(section.name(), new LinkedHashMap<>(entries));
            }
        }
        DumperOptions options = new DumperOptions();
        options.setDefaultFlowStyle(DumperOptions.FlowStyle.BLOCK);
        options.setIndicatorIndent(2);
        options.setIndentWithIndicator(true);
        options.setSplitLines(false);
        options.setDereferenceAliases(true);
        return new Yaml(options).dump(document);
    }
}
