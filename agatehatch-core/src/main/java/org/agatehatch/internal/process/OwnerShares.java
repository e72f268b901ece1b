package org.agatehatch.internal.process;

import java.util.Optional;
import java.util.function.Supplier;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.Owner;

/** Computes each owner's fair-share weight from the share in the catalogue and the observed usage. Thread-safe. */
public final class OwnerShares {
    /**
     * Limits the ratio of promised to observed share to the range 1/8 to 8. Otherwise the weight of an owner without
     * recent usage would be unbounded, and the lag of the digest would make the owners' usage oscillate.
     */
    private static final double MAX_CORRECTION = 8;
    /** Ranks an owner that is not in the catalogue or has no share behind all others. */
    private static final double UNKNOWN_OWNER_WEIGHT = 1 / 64.0;

    private final Supplier<Catalogue> catalogue;
    private final OwnerUsage usage;
    private volatile PromisedTotals promisedTotals = new PromisedTotals(-1, 1, 1);

    public OwnerShares(Supplier<Catalogue> catalogue, OwnerUsage usage) {
        this.catalogue = catalogue;
        this.usage = usage;
    }

    /** Returns the owner's catalogue entry, or empty if the catalogue has none. */
    public Optional<Owner> owner(String name) {
        return Optional.ofNullable(catalogue.get().owners().get(name));
    }

    /**
     * Returns the owner's weight: its promised share, multiplied by the ratio of promised to observed share. With the
     * ratio alone, the usage of two owners with queued requests would converge to the square root of their promised
     * ratio. The average of all weights is 1 when each owner uses its promised share.
     */
    public double weight(String name) {
        Owner owner = catalogue.get().owners().get(name);
        if (owner == null || owner.share() <= 0) {
            return UNKNOWN_OWNER_WEIGHT;
        }
        PromisedTotals totals = promisedTotals();
        double promisedPart = owner.share() / totals.sumOfShares;
        double observedPart = Math.max(usage.share(name), promisedPart / MAX_CORRECTION);
        double correction = Math.max(1 / MAX_CORRECTION, promisedPart / observedPart);
        return promisedPart * totals.owners * correction;
    }

    /**
     * Returns the time until the owner's rate falls to its limit of output tokens per second, if it uses nothing
     * more; 0 if the rate is within the limit or there is no limit.
     */
    public long millisUntilBelowLimit(Owner owner) {
        if (owner.maxTokensPerSecond() == 0) {
            return 0;
        }
        double rate = usage.total(owner.name()).outputTokensPerSecond();
        return usage.millisUntilBelow(rate, (double) owner.maxTokensPerSecond());
    }

    private PromisedTotals promisedTotals() {
        Catalogue current = catalogue.get();
        PromisedTotals last = promisedTotals;
        if (last.version != current.version()) {
            double sum =
                    current.owners().values().stream().mapToDouble(Owner::share).sum();
            last = new PromisedTotals(current.version(), current.owners().size(), sum);
            promisedTotals = last;
        }
        return last;
    }

    private record PromisedTotals(long version, int owners, double sumOfShares) {}
}
