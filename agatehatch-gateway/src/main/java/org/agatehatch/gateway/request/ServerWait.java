package org.agatehatch.gateway.request;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.agatehatch.internal.request.ServerChoice;

/**
 * Lets a request wait for a server where its deadline allows that: until a runner has loaded its model or adapter, or until a
 * server that has closed itself opens again. Otherwise the request is refused at once. Runs on the traffic thread.
 */
final class ServerWait {
    /** Limits the questions of one request; its waits are limited by time. */
    private static final int MAX_RESIDENCY_QUESTIONS = 20;

    /** Wait of a request for a model that is there by the word of the placement holder, and that this node does not find again. */
    private static final long MIN_RESIDENCY_WAIT_MILLIS = 50;

    /** A request waits for at most this fraction of the time that it had left at first, since its answer takes time too. */
    private static final int WAIT_DIVISOR = 3;

    /** Refuses a request whose demand has not been served. */
    @FunctionalInterface
    interface Refusal {
        /** Refuses the request. */
        void refuse(String reason, long retryAfterMillis);
    }

    private final ExchangeContext context;
    private final BooleanSupplier finished;
    private final Runnable chooseAgain;
    private final Refusal refusal;
    private final LongSupplier remainingMillis;
    private int residencyQuestions;
    private long residencyWaitEndsMillis;

    /**
     * Creates the waits of a request.
     *
     * @param finished whether the request has ended
     * @param chooseAgain chooses a server again
     * @param remainingMillis time until the request's deadline
     */
    ServerWait(
            ExchangeContext context,
            BooleanSupplier finished,
            Runnable chooseAgain,
            Refusal refusal,
            LongSupplier remainingMillis) {
        this.context = context;
        this.finished = finished;
        this.chooseAgain = chooseAgain;
        this.refusal = refusal;
        this.remainingMillis = remainingMillis;
    }

    /** Waits for the first closed server to open if that is soon and few requests wait. */
    void onClosed(ServerChoice.Closed closed) {
        long maxWaitMillis =
                Math.min(context.timeouts().maxClosureWaitMillis(), remainingMillis.getAsLong() / WAIT_DIVISOR);
        boolean waits = closed.opensInMillis() <= maxWaitMillis
                && context.availability().tryStartWait(closed.places());
        if (!waits) {
            refusal.refuse("servers_closed opens_in_ms=" + closed.opensInMillis(), closed.opensInMillis());
            return;
        }
        // The closure may end within the millisecond that the clock has not counted yet.
        context.loop().schedule(this::onOpen, closed.opensInMillis() + 1, TimeUnit.MILLISECONDS);
    }

    private void onOpen() {
        context.availability().endWait();
        chooseAgain.run();
    }

    /** Asks for a missing model or adapter, and waits for it if a runner will hold it soon enough. */
    void onNotResident(String service, ServerChoice.NotResident missing) {
        long nowMillis = context.clock().millis();
        if (residencyQuestions == 0) {
            residencyWaitEndsMillis = nowMillis
                    + Math.min(context.timeouts().maxResidencyWaitMillis(), remainingMillis.getAsLong() / WAIT_DIVISOR);
        }
        if (++residencyQuestions > MAX_RESIDENCY_QUESTIONS) {
            refuseNotResident(missing, context.timeouts().modelLoadRetryAfterMillis());
            return;
        }
        context.residencyRequester()
                .requestResidency(service, missing.model(), missing.adapter())
                .whenComplete((readyInMillis, failure) ->
                        context.loop().execute(() -> onResidencyAnswer(missing, failure == null ? readyInMillis : -1)));
    }

    private void onResidencyAnswer(ServerChoice.NotResident missing, long readyInMillis) {
        if (finished.getAsBoolean()) {
            return;
        }
        if (readyInMillis < 0) {
            refuseNotResident(missing, context.timeouts().modelLoadRetryAfterMillis());
        } else if (readyInMillis == 0 && residencyQuestions == 1) {
            chooseAgain.run();
        } else if (context.clock().millis() + readyInMillis > residencyWaitEndsMillis) {
            refuseNotResident(missing, readyInMillis);
        } else {
            context.loop()
                    .schedule(chooseAgain, Math.max(MIN_RESIDENCY_WAIT_MILLIS, readyInMillis), TimeUnit.MILLISECONDS);
        }
    }

    private void refuseNotResident(ServerChoice.NotResident missing, long retryAfterMillis) {
        refusal.refuse("not_resident model=" + missing.model() + " adapter=" + missing.adapter(), retryAfterMillis);
    }
}
