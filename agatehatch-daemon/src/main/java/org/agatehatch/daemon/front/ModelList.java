package org.agatehatch.daemon.front;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.agatehatch.api.catalogue.Catalogue;

/** Renders the response of {@code GET /v1/models}: every model and adapter of the catalogue. */
public final class ModelList {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Supplier<Catalogue> catalogue;
    private volatile Rendered rendered = new Rendered(-1, "");

    public ModelList(Supplier<Catalogue> catalogue) {
        this.catalogue = catalogue;
    }

    /** Returns the list in the OpenAI format. It is cached per catalogue version. */
    public String json() {
        Catalogue current = catalogue.get();
        Rendered last = rendered;
        if (last.version != current.version()) {
            last = new Rendered(current.version(), render(current));
            rendered = last;
        }
        return last.json;
    }

    private static String render(Catalogue catalogue) {
        ObjectNode root = JSON.createObjectNode().put("object", "list");
        ArrayNode data = root.putArray("data");
        new TreeMap<>(catalogue.models())
                .forEach((name, entry) -> data.addObject()
                        .put("id", name)
                        .put("object", "model")
                        .put("created", 0)
                        .put("owned_by", entry.owner()));
        return root.toString();
    }

    private record Rendered(long version, String json) {}
}
