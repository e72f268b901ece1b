package org.agatehatch.internal.request;

import java.util.function.BooleanSupplier;
import org.agatehatch.api.fleet.RouteSpec;

/**
 * Decides how one caller's request goes on when an attempt at a backend server has ended. It knows what may have run, so
 * that nothing runs twice which must not, and so that a refusal is true.
 *
 * <p>Not safe for use by several threads.
 */
public final class ForwardingStateMachine {
    /** Most sends of one request, refused ones included; each is an arrival that the service's retry budget counts. */
    static final int MAX_SEND_ATTEMPTS = 3;

    /** Most connections tried in vain for one request. */
    static final int MAX_FAILED_CONNECTS = 4;

    /** What to do next. */
    public enum NextStep {
        /** Try another backend server. */
        RETRY,
        /** Give the caller the server's answer. */
        DELIVER,
        /** Tell the caller that the request did not run and will not. */
        REFUSE,
        /** Tell the caller that the request may have run. */
        FAIL,
        /** Tell the caller that the time is over and that the request may have run. */
        TIME_OUT,
        /** Break off the answer that the caller has begun to get. */
        CUT_OFF
    }

    private final RouteSpec route;
    private final BooleanSupplier retryAllowed;
    private int sendCount;
    private int possibleRuns;
    private int failedConnects;
    private boolean answerBegun;

    /**
     * Creates the state of a request that was not sent yet.
     *
     * @param retryAllowed takes one retry from the service's budget and returns whether there was one
     */
    public ForwardingStateMachine(RouteSpec route, BooleanSupplier retryAllowed) {
        this.route = route;
        this.retryAllowed = retryAllowed;
    }

    /** Notes that the request is being written to a backend server. */
    public void onSent() {
        sendCount++;
    }

    /** Notes that the caller has begun to get an answer. */
    public void onResponseStarted() {
        answerBegun = true;
    }

    /** Returns whether the request may have run at some server. */
    public boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /** Returns the number of times that the request was sent. */
    public int sendCount() {
        return sendCount;
    }

    /** Decides after the end of an attempt. */
    public NextStep onAttemptEnd(AttemptEnd end) {
        if (end.mayHaveRun()) {
            possibleRuns++;
        }
        return switch (end) {
            case ANSWERED -> NextStep.DELIVER;
            case NOT_CONNECTED -> ++failedConnects < MAX_FAILED_CONNECTS ? NextStep.RETRY : giveUp();
            case REFUSED, MISDIRECTED -> mayResend() ? NextStep.RETRY : giveUp();
            case BROKEN, SILENT -> mayRunAgain() ? NextStep.RETRY : giveUp();
            case SERVER_ERROR -> !answerBegun && mayRunAgain() ? NextStep.RETRY : NextStep.DELIVER;
        };
    }

    /** Decides when no backend server can be chosen, or none in time. */
    public NextStep onNoServer() {
        return giveUp();
    }

    /** Decides when the caller's time or the route's is over, while an attempt is running or not. */
    public NextStep onTimeout(boolean attemptRunning) {
        if (answerBegun) {
            return NextStep.CUT_OFF;
        }
        return attemptRunning || mayHaveRun() ? NextStep.TIME_OUT : NextStep.REFUSE;
    }

    private boolean mayRunAgain() {
        return route.repeatable() && possibleRuns < route.maxAttempts() && mayResend();
    }

    private boolean mayResend() {
        return sendCount < MAX_SEND_ATTEMPTS && retryAllowed.getAsBoolean();
    }

    private NextStep giveUp() {
        if (answerBegun) {
            return NextStep.CUT_OFF;
        }
        return mayHaveRun() ? NextStep.FAIL : NextStep.REFUSE;
    }
}
