package org.agatehatch.api.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * What a backend server says of itself.
 *
 * @param id name of the backend server; a restart may keep it
 * @param failureDomain where it runs
 * @param draining whether it is about to leave and takes no new work
 * @param startedAtMillis time of day at which its process started, as the server has it; identifies the process
 * @param locallyCachedModels models whose weights it has in host memory or on disk, so that the weight store is not needed
 */
public record ServerEntry(
        String id,
        String service,
        PeerAddress address,
        String failureDomain,
        int slots,
        boolean draining,
        long startedAtMillis,
        List<ResidentModel> models,
        Set<String> locallyCachedModels) {
    public ServerEntry {
        models = List.copyOf(models);
        locallyCachedModels = Set.copyOf(locallyCachedModels);
    }

    /** Returns a name for the process, which a restart under the same id does not keep. */
    public String processKey() {
        return id + '@' + startedAtMillis;
    }

    /** Returns whether another entry describes the same process. */
    public boolean sameProcess(ServerEntry other) {
        return id.equals(other.id) && startedAtMillis == other.startedAtMillis;
    }

    /** Returns what it holds of a model. */
    public Optional<ResidentModel> resident(String model) {
        return models.stream().filter(held -> held.name().equals(model)).findFirst();
    }
}
