package org.agatehatch.internal.process;

import java.util.Optional;
import java.util.function.Supplier;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.Owner;

/** Compares what the catalogue promises each owner with what the owner uses. */
public final class OwnerShares {
    /**
     * Promised over observed use counts from 1/8 to 8. An owner that used nothing lately would otherwise get an unlimited
     * weight, and with the digest's lag the owners' use would swing.
     */
    private static final double MAX_CORRECTION = 8;
    /** An owner that the catalogue does not know goes behind all others. */
    private static final double UNKNOWN_OWNER_WEIGHT = 1 / 64.0;

    private final Supplier<Catalogue> catalogue;
    private final OwnerUsage usage;
    private volatile PromisedTotals promisedTotals = new PromisedTotals(-1, 1, 1);

    public OwnerShares(Supplier<Catalogue> catalogue, OwnerUsage usage) {
        this.catalogue = catalogue;
        this.usage = usage;
    }

    /** Returns the owner's entry in the catalogue. */
    public Optional<Owner> owner(String name) {
        return Optional.ofNullable(catalogue.get().owners().get(name));
    }

    /**
     * Returns the owner's weight: its promised share, times promised over observed share. With the second factor alone,
     * two owners with waiting requests would settle at the square root of the ratio promised to them. The average of all
     * owners' weights is 1 when each uses what it was promised.
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

    /** Returns the time after which the owner is below its limit of output tokens a second; 0 if it is now. */
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
