package org.agatehatch.internal.process;

/** A fault put into the simulated deployment on purpose, to show that the oracle finds it. */
enum InjectedFault {
    NONE,
    /** A claim counts as granted as soon as its append is answered. */
    GRANT_BEFORE_READ_BACK,
    /** A claim that could not be proven counts as granted. */
    GRANT_WITHOUT_PROOF,
    /** A broken attempt counts as proven not run, so it is retried. */
    RETRY_AFTER_COMMIT,
    /** A granted claim may be dispatched on at any later time. */
    NO_DISPATCH_LIMIT,
    /** Frames are renumbered to the index that is expected. */
    INDEX_CHECK_DISABLED,
    /** Frames are taken for the current attempt's, whichever they carry. */
    ATTEMPT_CHECK_DISABLED,
    /** Claims hold their keys for a fraction of the window. */
    RETENTION_TOO_SHORT,
    /** A reader does not notice that records were dropped. */
    LOG_GAP_HIDDEN,
    /** Checkpoints do not repeat the claims that they are to carry over. */
    CHECKPOINT_WITHOUT_CLAIMS,
    /** A claim whose run ended without an answer is abandoned. */
    ABANDON_AFTER_COMMIT,
    /** The caller of a broken attempt is told that it did not run. */
    UNKNOWN_REPORTED_AS_NOT_RUN
}
