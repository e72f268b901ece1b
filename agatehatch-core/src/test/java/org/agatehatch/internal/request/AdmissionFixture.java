package org.agatehatch.internal.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.Owner;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.routing.AdmissionPolicy;
import org.agatehatch.api.routing.AdmissionRequest;
import org.agatehatch.internal.process.OwnerShares;
import org.agatehatch.internal.process.OwnerUsage;
import org.agatehatch.internal.time.VirtualClock;

/** Creates admission queues and requests under virtual time, and collects refusals. */
final class AdmissionFixture {
    static final PoolLoad IDLE = new PoolLoad(50, 0);

    final VirtualClock clock = new VirtualClock();
    final OwnerUsage usage = new OwnerUsage(clock, 10, 30_000);
    final List<AgatehatchException> refusals = new ArrayList<>();
    private final Map<String, Owner> owners = new HashMap<>();

    AdmissionFixture owner(Owner owner) {
        owners.put(owner.name(), owner);
        return this;
    }

    AdmissionQueue queue(int maxRequests, long maxBytes, HoldbackPolicy holdback) {
        Catalogue catalogue = new Catalogue(1, Map.of(), owners, Map.of(), Map.of(), Map.of(), Map.of());
        return new AdmissionQueue(
                "pool",
                new AdmissionLimits(maxRequests, maxBytes, 500),
                AdmissionPolicy.deadlineAware(),
                holdback,
                new OwnerShares(() -> catalogue, usage),
                clock);
    }

    AdmissionQueue queue(int maxRequests) {
        return queue(maxRequests, 1 << 20, HoldbackPolicy.none());
    }

    QueuedRequest request(String owner, int priority, long firstTokenMillis) {
        return request("model", owner, priority, 1_000, firstTokenMillis);
    }

    QueuedRequest request(String entry, String owner, int priority, long tokens, long firstTokenMillis) {
        long deadlineNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(firstTokenMillis);
        AdmissionRequest request = new AdmissionRequest(entry, owner, priority, tokens, 100, deadlineNanos);
        return new QueuedRequest(request, deadlineNanos, () -> true, refusals::add);
    }
}
