package org.agatehatch.experiment;

/** One attempt at an engine. A repeated attempt starts behind the tokens that its caller already has. */
final class EngineJob {
    final ExperimentRequest request;
    final double returnMillis;
    final Listener listener;
    int promptLeft;
    boolean adapterReady;
    boolean ended;
    private int tokensLeft;

    /** Is told what happens to a job, at the engine's time. */
    interface Listener {
        void firstToken();

        void finished();

        /** Ends the job; {@code ran} is false if the engine refused it. */
        void failed(boolean ran);
    }

    /**
     * Creates a job.
     *
     * @param returnMillis time that a token takes from the engine to the caller
     */
    EngineJob(ExperimentRequest request, double returnMillis, Listener listener) {
        this.request = request;
        this.returnMillis = returnMillis;
        this.listener = listener;
        this.promptLeft = request.promptTokens + request.tokens();
        this.tokensLeft = request.outputTokens - request.tokens();
    }

    /** Passes a token on and returns whether it was the last. */
    boolean emit(long engineNanos) {
        request.token(engineNanos + VirtualTime.nanos(returnMillis));
        tokensLeft--;
        return tokensLeft <= 0;
    }
}
