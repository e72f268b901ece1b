package org.agatehatch.api.routing;

/**
 * The decision of admission control on one request.
 *
 * @param retryAfterMillis for a refused request, time after which a retry would probably be admitted; else 0
 * @param reason why the request was refused; empty for an admitted request
 */
public record AdmissionVerdict(boolean admitted, long retryAfterMillis, String reason) {
    public static final AdmissionVerdict ADMITTED = new AdmissionVerdict(true, 0, "");

    public static AdmissionVerdict refused(long retryAfterMillis, String reason) {
        return new AdmissionVerdict(false, retryAfterMillis, reason);
    }
}
