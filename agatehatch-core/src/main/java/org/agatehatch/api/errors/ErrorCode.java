package org.agatehatch.api.errors;

import java.util.Locale;

/** Stable error codes, each with the HTTP status that the entry node returns. */
public enum ErrorCode {
    INVALID_REQUEST(400),
    INVALID_SETTING(400),
    INVALID_CATALOGUE(422),
    MODEL_NOT_FOUND(404),
    SERVICE_NOT_FOUND(404),
    REQUEST_TOO_LARGE(413),
    IDEMPOTENCY_KEY_INVALID(400),
    IDEMPOTENCY_KEY_REUSED(422),
    IDEMPOTENCY_KEY_IN_FLIGHT(409),
    IDEMPOTENCY_KEY_EXPIRED(409),
    IDEMPOTENCY_OUTCOME_UNKNOWN(409),
    CLAIMS_UNAVAILABLE(503),
    REQUEST_QUARANTINED(422),
    OVERLOADED(429),
    OWNER_LIMIT_REACHED(429),
    DEADLINE_EXCEEDED(504),
    NO_BACKEND_SERVER(503),
    BACKEND_SERVER_FAILED(502),
    STREAM_INTERRUPTED(502),
    NODE_STARTING(503),
    NODE_LEAVING(503),
    NODE_UNREACHABLE(502),
    VERSION_CONFLICT(409),
    CATALOGUE_DOES_NOT_FIT(422),
    PLACEMENT_REFUSED(409),
    LOG_UNAVAILABLE(503),
    PEER_REJECTED(403),
    BAD_FRAME(400),
    INTERNAL(500);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the name used on the wire, for example {@code model_not_found}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
