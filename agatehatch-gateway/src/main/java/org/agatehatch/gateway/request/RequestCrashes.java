package org.agatehatch.gateway.request;

import java.util.List;
import java.util.Optional;
import org.agatehatch.gateway.HeaderCodec;
import org.agatehatch.gateway.connection.CallerRequest;
import org.agatehatch.internal.process.CrashingPartDetector;
import org.agatehatch.internal.request.RequestHash;

/** Crashes of backend servers that one request, or a part of its prompt, may have caused. */
final class RequestCrashes {
    private final CrashAttribution crashes;
    private final long fingerprint;
    private final List<String> sharedParts;

    RequestCrashes(CrashAttribution crashes, CallerRequest request, HeaderCodec.RequestMetadata metadata) {
        this.crashes = crashes;
        this.fingerprint =
                RequestHash.of(request.head().method().name(), request.head().uri(), request.body());
        this.sharedParts =
                metadata.generation().map(CrashingPartDetector::sharedParts).orElse(List.of());
    }

    long fingerprint() {
        return fingerprint;
    }

    /** Returns whether the request is quarantined as a whole. */
    boolean isQuarantined() {
        return crashes.isQuarantined(fingerprint);
    }

    /** Returns a quarantined part of the request's prompt; empty if the request may be sent. */
    Optional<String> blockingPart() {
        return crashes.blockingPart(sharedParts);
    }

    /** Records that the connection of an attempt broke, or that its answer may have been broken off without a trace. */
    void connectionBroken(Attempt attempt) {
        crashes.connectionBroken(fingerprint, attempt.survived() ? List.of() : sharedParts, attempt.server());
    }

    /** Records that the server of an attempt survived the beginning of its answer. */
    void answerSurvived(long begunMillis) {
        crashes.answerSurvived(sharedParts, begunMillis);
    }

    /** Records a complete answer. */
    void answered() {
        crashes.requestAnswered(fingerprint);
    }
}
