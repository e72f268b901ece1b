package org.agatehatch.daemon.traffic;

import org.agatehatch.api.routing.Candidate;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.process.SuspicionTable;
import org.agatehatch.internal.request.PoolLoad;

/** What the queue of one pool needs of the rest of the node. */
interface PoolContext {
    /** Returns whether the pool consists of runners. */
    boolean isModelPool();

    /** Returns the use of the pool, 1 when it is full. */
    double saturation();

    /** Returns the load of a pool of plain services, which report none. */
    PoolLoad serviceLoad();

    /** Returns the health of the pool's backend servers. */
    BackendServerHealth health();

    /** Returns whether a request may go to a backend server, given the crashes it was involved in. */
    SuspicionTable.Verdict suspicion(long fingerprint, String backendServer);

    /** Notes that an attempt is about to be sent. */
    SentAttempt attemptStarted(RequestContext request, Candidate candidate);

    /** Runs a task some milliseconds later. */
    void scheduleRetry(Runnable task);

    /** An attempt that was sent. */
    interface SentAttempt {
        /** The first frame arrived. */
        void onFirstFrame(double elapsedMillis);

        /** The attempt ended. */
        void onAttemptEnd(AttemptResult result, double elapsedMillis);
    }
}
