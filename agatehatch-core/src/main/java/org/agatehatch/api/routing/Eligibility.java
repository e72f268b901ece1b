package org.agatehatch.api.routing;

import java.util.ArrayList;
import java.util.List;

/** Filters candidates by whether they can serve the adapter of a request. */
final class Eligibility {
    private Eligibility() {}

    /** Returns whether the adapter is resident or this node may load it. */
    static boolean eligible(Candidate candidate) {
        return candidate.adapterResident() || candidate.adapterLoadAllowed();
    }

    /** Returns the eligible candidates; the same list if all are. */
    static List<Candidate> eligible(List<Candidate> candidates) {
        for (Candidate candidate : candidates) {
            if (!eligible(candidate)) {
                return copyEligible(candidates);
            }
        }
        return candidates;
    }

    private static List<Candidate> copyEligible(List<Candidate> candidates) {
        List<Candidate> eligible = new ArrayList<>(candidates.size());
        for (Candidate candidate : candidates) {
            if (eligible(candidate)) {
                eligible.add(candidate);
            }
        }
        return eligible;
    }
}
