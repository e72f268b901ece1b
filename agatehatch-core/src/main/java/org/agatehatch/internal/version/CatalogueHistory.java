package org.agatehatch.internal.version;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueDiff;

/** The last accepted catalogue changes, with the differences that undo them. */
public final class CatalogueHistory {
    /** Maximum number of changes kept: some hours at 360 changes a day. */
    public static final int MAX_CHANGES = 50;

    private final ArrayDeque<Change> changes = new ArrayDeque<>();

    void add(Change change) {
        changes.addLast(change);
        if (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
        }
    }

    void restore(Collection<Change> restored) {
        restored.forEach(this::add);
    }

    /** Returns the kept changes, oldest first. */
    public List<Change> changes() {
        return List.copyOf(changes);
    }

    /** Returns the catalogue of a version; empty if the version is no longer kept or higher than the current one. */
    public Optional<Catalogue> catalogueAt(long version, Catalogue current) {
        Catalogue catalogue = current;
        Iterator<Change> newestFirst = changes.descendingIterator();
        while (catalogue.version() > version && newestFirst.hasNext()) {
            catalogue = newestFirst
                    .next()
                    .undo()
                    .applyTo(catalogue, catalogue.version() - 1)
                    .orThrow();
        }
        return catalogue.version() == version ? Optional.of(catalogue) : Optional.empty();
    }

    /**
     * An accepted change.
     *
     * @param version catalogue version after the change
     * @param offset log offset of the change
     * @param undo difference that restores the previous version
     */
    public record Change(long version, long offset, String operator, CatalogueDiff undo) {}
}
