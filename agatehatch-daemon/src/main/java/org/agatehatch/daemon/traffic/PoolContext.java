package org.agatehatch.daemon.traffic;

import org.agatehatch.api.routing.Candidate;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.process.PoisonRequestTable;
import org.agatehatch.internal.request.PoolLoad;

/** State of one pool that its {@link PoolDispatcher} reads and updates. */
interface PoolContext {
    /** Returns true for a pool of runners, false for a pool of plain services. */
    boolean isModelPool();

    /** Returns the utilization of the pool; 1 means full. */
    double saturation();

    /** Returns the load to assume for a pool of plain services, which report no load. */
    PoolLoad serviceLoad();

    BackendServerHealth health();

    /** Returns whether a request may be sent to a backend server, given the crashes that it was involved in. */
    PoisonRequestTable.Verdict suspicion(RequestContext request, String backendServer);

    /** Records that an attempt is about to be sent. */
    SentAttempt attemptStarted(RequestContext request, Candidate candidate);

    /** Runs a task after a retry delay of some milliseconds. */
    void scheduleRetry(Runnable task);

    /** An attempt that was sent. */
    interface SentAttempt {
        /** Called when the first frame of the response arrives. */
        void onFirstFrame(double elapsedMillis);

        /** Called when the attempt ends. */
        void onAttemptEnd(AttemptResult result, double elapsedMillis);
    }
}
