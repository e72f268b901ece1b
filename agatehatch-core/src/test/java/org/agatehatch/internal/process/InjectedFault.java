package org.agatehatch.internal.process;

/** A fault that a test injects into the simulated deployment to show that the oracle detects it. */
enum InjectedFault {
    NONE,
    /** A claim counts as granted when its append is acknowledged, before the record is read back. */
    GRANT_BEFORE_READ_BACK,
    /** A claim whose result is in doubt counts as granted. */
    GRANT_WITHOUT_PROOF,
    /** An attempt whose connection broke is treated as proven not run, so it is retried. */
    RETRY_AFTER_COMMIT,
    /** A request may be dispatched at any time after its claim was granted. */
    NO_DISPATCH_LIMIT,
    /** Each received frame gets the index that is expected next. */
    INDEX_CHECK_DISABLED,
    /** Each received frame is attributed to the current attempt, whichever attempt it belongs to. */
    ATTEMPT_CHECK_DISABLED,
    /** Claims are retained for only a tenth of the idempotency window. */
    RETENTION_TOO_SHORT,
    /** A log reader does not detect that records were dropped. */
    LOG_GAP_HIDDEN,
    /** Checkpoints omit the claims that they must carry over. */
    CHECKPOINT_WITHOUT_CLAIMS,
    /** A claim is abandoned although its outcome is unknown. */
    ABANDON_AFTER_COMMIT,
    /** A request that failed at dispatch with an unknown outcome is reported to its caller as not run. */
    UNKNOWN_REPORTED_AS_NOT_RUN
}
