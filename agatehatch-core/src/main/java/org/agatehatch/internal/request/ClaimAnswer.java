package org.agatehatch.internal.request;

/** Answer to a claim of an idempotency key. Only {@link Granted} allows the request to run. */
public sealed interface ClaimAnswer {
    /**
     * The claim is the first one of its key in the log, so the request may run.
     *
     * @param sentAtMillis monotonic time of the claiming node just before it first sent the claim
     */
    record Granted(String claimId, long sentAtMillis) implements ClaimAnswer {}

    /** A live node holds an unsettled claim of the key. */
    record InFlight() implements ClaimAnswer {}

    /** Another claim of the key exists, and whether its request ran cannot be determined. */
    record OutcomeUnknown() implements ClaimAnswer {}

    /** The key was already used for a request with a different payload. */
    record Reused() implements ClaimAnswer {}

    /**
     * The request of the key ran and its response is known.
     *
     * @param bodyDigest SHA-256 of the complete body in hexadecimal digits
     * @param body the body; empty if it was longer than {@value #MAX_BODY_BYTES} bytes or is no longer stored
     * @param bodyKept whether {@code body} is the complete body
     */
    @SuppressWarnings("ArrayRecordComponent") // The body is forwarded to the caller and never compared.
    record Settled(int status, String contentType, String bodyDigest, byte[] body, boolean bodyKept)
            implements ClaimAnswer {
        /** Maximum size of a body that is stored with a claim. */
        public static final int MAX_BODY_BYTES = 2_048;
    }

    /**
     * Whether the claim is granted cannot be determined now.
     *
     * @param inDoubt whether the claim may be in the log or may still be appended
     */
    record Unavailable(long retryAfterMillis, String reason, boolean inDoubt) implements ClaimAnswer {}
}
