package org.agatehatch.internal.request;

import java.util.function.BooleanSupplier;
import org.agatehatch.api.fleet.RouteSpec;

/**
 * Decides the next step of a caller's request after an attempt at a backend server ended. It tracks which attempts may
 * have run, so that a request runs no more often than its route allows, and is refused as not run only if no attempt
 * can have run it.
 *
 * <p>Not thread safe.
 */
public final class ForwardingStateMachine {
    /** Limit of sends of one request, including refused ones, since the service's retry budget counts every send. */
    static final int MAX_SEND_ATTEMPTS = 3;

    /** Limit of attempts at one request that end before it is sent. */
    static final int MAX_FAILED_CONNECTS = 4;

    /** The step that the request handler performs next. */
    public enum NextStep {
        /** Try another backend server. */
        RETRY,
        /** Deliver the server's response to the caller. */
        DELIVER,
        /** Tell the caller that the request did not run and will not. */
        REFUSE,
        /** Tell the caller that the request may have run. */
        FAIL,
        /** Tell the caller that the request timed out and may have run. */
        TIME_OUT,
        /** Abort the response that is already being sent to the caller. */
        CUT_OFF
    }

    private final RouteSpec route;
    private final BooleanSupplier retryAllowed;
    private int sendCount;
    private int possibleRuns;
    private int failedConnects;
    private boolean responseStarted;

    /**
     * Creates the state machine of a request that has not been sent.
     *
     * @param retryAllowed takes one retry from the service's budget and returns whether one was available
     */
    public ForwardingStateMachine(RouteSpec route, BooleanSupplier retryAllowed) {
        this.route = route;
        this.retryAllowed = retryAllowed;
    }

    /** Records that the request is being sent to a backend server. */
    public void onSent() {
        sendCount++;
    }

    /** Records that the response to the caller has started. */
    public void onResponseStarted() {
        responseStarted = true;
    }

    /** Returns whether any attempt may have run the request. */
    public boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /** Returns the number of times that the request was sent, including refused sends. */
    public int sendCount() {
        return sendCount;
    }

    /** Returns the next step after an attempt ended. */
    public NextStep onAttemptEnd(AttemptEnd end) {
        onAttemptEndBesideAnother(end);
        return switch (end) {
            case ANSWERED -> NextStep.DELIVER;
            case NOT_CONNECTED, WITHDRAWN -> failedConnects < MAX_FAILED_CONNECTS ? NextStep.RETRY : giveUp();
            case REFUSED, MISDIRECTED -> mayResend() ? NextStep.RETRY : giveUp();
            case BROKEN, SILENT -> mayRunAgain() ? NextStep.RETRY : giveUp();
            case SERVER_ERROR -> !responseStarted && mayRunAgain() ? NextStep.RETRY : NextStep.DELIVER;
        };
    }

    /** Records the end of an attempt while another attempt at the request goes on, so that no next step is needed. */
    public void onAttemptEndBesideAnother(AttemptEnd end) {
        if (end.mayHaveRun()) {
            possibleRuns++;
        }
        if (end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.WITHDRAWN) {
            failedConnects++;
        }
    }

    /** Returns whether the route allows an attempt at a second server while one at a silent server is still open. */
    public boolean maySendBesideOpenAttempt() {
        return route.repeatable()
                && possibleRuns + 1 < route.maxAttempts()
                && sendCount < MAX_SEND_ATTEMPTS
                && failedConnects < MAX_FAILED_CONNECTS;
    }

    /** Returns the next step if no backend server is available, or none becomes available in time. */
    public NextStep onNoServer() {
        return giveUp();
    }

    /**
     * Returns the next step when the timeout of the caller or of the route expires.
     *
     * @param attemptRunning whether an attempt is in flight
     */
    public NextStep onTimeout(boolean attemptRunning) {
        if (responseStarted) {
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
        if (responseStarted) {
            return NextStep.CUT_OFF;
        }
        return mayHaveRun() ? NextStep.FAIL : NextStep.REFUSE;
    }
}
