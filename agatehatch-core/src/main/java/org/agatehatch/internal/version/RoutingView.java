package org.agatehatch.internal.version;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatehatch.api.catalogue.Catalogue;

/**
 * Immutable view of the replicated state for the traffic threads. The control thread publishes a new view after each
 * change.
 *
 * @param throughOffsets last applied offset per stream
 * @param runnersByModel runners on which a model is resident and ready, by resident model
 * @param roles role of each runner whose role is not {@code both}
 * @param unavailable backend servers that receive no new work because they are drained or leaving
 */
public record RoutingView(
        Catalogue catalogue,
        Map<String, Long> throughOffsets,
        Map<String, List<String>> runnersByModel,
        Map<String, String> roles,
        Set<String> unavailable) {
    /** View before the first log record is applied. */
    public static final RoutingView EMPTY = new RoutingView(Catalogue.EMPTY, Map.of(), Map.of(), Map.of(), Set.of());

    public RoutingView {
        throughOffsets = Map.copyOf(throughOffsets);
        runnersByModel = Map.copyOf(runnersByModel);
        roles = Map.copyOf(roles);
        unavailable = Set.copyOf(unavailable);
    }
}
