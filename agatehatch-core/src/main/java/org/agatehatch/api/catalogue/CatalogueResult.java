package org.agatehatch.api.catalogue;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * The result of reading or changing a catalogue: a valid catalogue, or all problems found.
 *
 * @param catalogue the catalogue; empty if there are problems
 */
public record CatalogueResult(Optional<Catalogue> catalogue, List<CatalogueProblem> problems) {
    /** Limits the problems in a message, so that a file that is not a catalogue still gives a readable message. */
    private static final int MAX_LISTED_PROBLEMS = 100;

    public CatalogueResult {
        problems = List.copyOf(problems);
    }

    static CatalogueResult of(Catalogue catalogue, List<CatalogueProblem> problems) {
        return problems.isEmpty()
                ? new CatalogueResult(Optional.of(catalogue), List.of())
                : new CatalogueResult(Optional.empty(), problems);
    }

    /**
     * Returns the catalogue.
     *
     * @throws AgatehatchException with {@code INVALID_CATALOGUE} and one line per problem, if the catalogue is invalid
     */
    public Catalogue orThrow() {
        return catalogue.orElseThrow(() -> new AgatehatchException(
                ErrorCode.INVALID_CATALOGUE, "catalogue", "self", Outcome.NOT_RUN, problemText()));
    }

    /** Returns one line per problem, for at most the first 100 problems. */
    public String problemText() {
        String text = problems.stream()
                .limit(MAX_LISTED_PROBLEMS)
                .map(CatalogueProblem::toString)
                .collect(Collectors.joining("\n"));
        int unlisted = problems.size() - MAX_LISTED_PROBLEMS;
        return unlisted > 0 ? text + "\nand " + unlisted + " more" : text;
    }
}
