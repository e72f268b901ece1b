package org.agatehatch.standins.engine;

/** One attempt on its way through the engine. Guarded by the engine's lock. */
final class Attempt {
    private final InferenceRequest request;
    private final TokenSink sink;
    private final long arrival;
    private final Residency.Resident resident;
    private boolean running;
    private double prefillTokensLeft;
    private boolean prefilled;
    private double credit;
    private int nextIndex;

    Attempt(InferenceRequest request, TokenSink sink, long arrival, Residency.Resident resident) {
        this.request = request;
        this.sink = sink;
        this.arrival = arrival;
        this.resident = resident;
        this.nextIndex = request.firstIndex();
    }

    InferenceRequest request() {
        return request;
    }

    TokenSink sink() {
        return sink;
    }

    Residency.Resident resident() {
        return resident;
    }

    boolean isRunning() {
        return running;
    }

    boolean isPrefilled() {
        return prefilled;
    }

    boolean isComplete() {
        return nextIndex >= request.maxTokens();
    }

    int nextIndex() {
        return nextIndex;
    }

    /** Returns prompt and output tokens that are still to be computed. */
    long tokensLeft() {
        return (long) request.promptTokens() + Math.max(0, request.maxTokens() - nextIndex);
    }

    void enterBatch(int cachedTokens) {
        running = true;
        // Tokens that another engine has sent before are part of the text that must be computed again.
        prefillTokensLeft = Math.max(1, request.promptTokens() - cachedTokens + request.firstIndex());
    }

    /** Computes part of the prompt and returns what is left of the budget. */
    double prefill(double tokenBudget) {
        double used = Math.min(tokenBudget, prefillTokensLeft);
        prefillTokensLeft -= used;
        if (prefillTokensLeft <= 0) {
            prefilled = true;
            credit = 1; // The end of the prompt's computation gives the first token.
        }
        return tokenBudget - used;
    }

    /** Adds computing time worth this many tokens and sends on what is whole. */
    TokenSink.Delivery decode(double tokens) {
        credit += tokens;
        int whole = (int) Math.min(credit, request.maxTokens() - nextIndex);
        if (whole <= 0) {
            return TokenSink.Delivery.TAKEN;
        }
        TokenSink.Delivery delivery = sink.deliver(nextIndex, nextIndex + whole);
        if (delivery == TokenSink.Delivery.TAKEN) {
            nextIndex += whole;
            credit -= whole;
        }
        return delivery;
    }

    /** Orders attempts as they enter the batch: higher priority first, then first come, first served. */
    static int compareForAdmission(Attempt a, Attempt b) {
        int byPriority = Integer.compare(b.request.priority(), a.request.priority());
        return byPriority != 0 ? byPriority : Long.compare(a.arrival, b.arrival);
    }
}
