package org.agatehatch.api.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A backend server's registration, which the server itself writes to the platform's store.
 *
 * @param id name of the backend server; it may stay the same after a restart
 * @param failureDomain failure domain of the server
 * @param draining whether the server is about to leave and takes no new requests
 * @param startedAtMillis time of day at which the server's process started, by the server's clock; identifies the process
 * @param softwareVersion version of the server's software; a stream may go on only at the version that began it
 * @param models models that the server has loaded
 * @param locallyCachedModels models whose weights the server has in host memory or on disk, so that it can load them without
 *     the weight store
 */
public record ServerEntry(
        String id,
        String service,
        PeerAddress address,
        String failureDomain,
        int slots,
        boolean draining,
        long startedAtMillis,
        String softwareVersion,
        List<ResidentModel> models,
        Set<String> locallyCachedModels) {
    public ServerEntry {
        models = List.copyOf(models);
        locallyCachedModels = Set.copyOf(locallyCachedModels);
    }

    /** Returns a key for the server's process, which changes with a restart under the same id. */
    public String processKey() {
        return id + '@' + startedAtMillis;
    }

    /** Returns whether the other entry was written by the same process. */
    public boolean sameProcess(ServerEntry other) {
        return id.equals(other.id) && startedAtMillis == other.startedAtMillis;
    }

    /** Returns a model with its adapters if the server has loaded it. */
    public Optional<ResidentModel> resident(String model) {
        for (ResidentModel held : models) {
            if (held.name().equals(model)) {
                return Optional.of(held);
            }
        }
        return Optional.empty();
    }
}
