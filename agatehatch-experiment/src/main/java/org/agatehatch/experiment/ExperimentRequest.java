package org.agatehatch.experiment;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.RequestClass;
import org.agatehatch.api.routing.PromptBlocks;

/** One request with what its caller has received so far. */
final class ExperimentRequest {
    /** Part of the gaps between tokens that may be longer than promised. */
    private static final double LATE_GAPS_ALLOWED = 0.05;

    final ModelEntry entry;
    final RequestClass requestClass;
    final int promptTokens;
    final int outputTokens;
    final long[] promptBlocks;
    final long sentNanos;
    final Set<String> tried = new HashSet<>();
    private final Metrics metrics;
    private int attempts;
    private int tokens;
    private int lateGaps;
    private long firstTokenNanos;
    private long lastTokenNanos;
    private boolean settled;

    ExperimentRequest(
            ModelEntry entry,
            RequestClass requestClass,
            int promptTokens,
            int outputTokens,
            long[] promptBlocks,
            long sentNanos,
            Metrics metrics) {
        this.entry = entry;
        this.requestClass = requestClass;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.promptBlocks = promptBlocks;
        this.sentNanos = sentNanos;
        this.metrics = metrics;
        metrics.offered(this);
    }

    Optional<String> adapter() {
        return entry.isAdapter() ? Optional.of(entry.name()) : Optional.empty();
    }

    int promptBytes() {
        return promptBlocks.length * PromptBlocks.BLOCK_BYTES;
    }

    void startAttempt() {
        attempts++;
    }

    int attempts() {
        return attempts;
    }

    int tokens() {
        return tokens;
    }

    boolean settled() {
        return settled;
    }

    /** Notes a token that the caller receives at the given time. */
    void token(long atNanos) {
        if (tokens == 0) {
            firstTokenNanos = atNanos;
            metrics.firstToken(atNanos - sentNanos);
        } else {
            long gapNanos = atNanos - lastTokenNanos;
            metrics.gap(gapNanos);
            if (gapNanos > VirtualTime.nanos(requestClass.betweenTokensMillis())) {
                lateGaps++;
            }
        }
        lastTokenNanos = atNanos;
        tokens++;
    }

    /** Counts the request once, when its outcome is known. */
    void settle(Metrics.Outcome outcome) {
        if (settled) {
            throw new IllegalStateException(
                    "a request of '" + entry.name() + "' was settled twice; this is a fault of" + " the experiment");
        }
        settled = true;
        metrics.settled(this, outcome);
    }

    /** Settles a whole answer by the promises of its class. */
    void answered() {
        boolean kept = firstTokenNanos - sentNanos <= VirtualTime.nanos(requestClass.firstTokenMillis())
                && lastTokenNanos - sentNanos <= VirtualTime.nanos(requestClass.wholeAnswerMillis())
                && lateGaps <= LATE_GAPS_ALLOWED * Math.max(1, tokens - 1);
        settle(kept ? Metrics.Outcome.ATTAINED : Metrics.Outcome.LATE);
    }
}
