package org.agatehatch.api.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatehatch.api.catalogue.Catalogue;

/**
 * Input of one planning round for one pool.
 *
 * @param charges everything that occupies accelerator memory in the pool
 * @param demandTokensPerSecond smoothed demand per model; the demand of adapters counts towards their base model
 * @param unavailableRunners runners that have failed, are leaving or are drained
 * @param roles role by runner, for runners whose role is not {@code both}
 * @param loadsInFlight number of the pool's loads whose outcome is not known yet
 * @param nowMillis monotonic time of the round
 * @param lastChangeMillis monotonic time of the last accepted change per model
 */
public record PlacementInput(
        Catalogue catalogue,
        String pool,
        List<Charge> charges,
        Map<String, Double> demandTokensPerSecond,
        Set<String> unavailableRunners,
        Map<String, String> roles,
        int loadsInFlight,
        long nowMillis,
        Map<String, Long> lastChangeMillis) {
    public PlacementInput {
        charges = List.copyOf(charges);
        demandTokensPerSecond = Map.copyOf(demandTokensPerSecond);
        unavailableRunners = Set.copyOf(unavailableRunners);
        roles = Map.copyOf(roles);
        lastChangeMillis = Map.copyOf(lastChangeMillis);
    }
}
