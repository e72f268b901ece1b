package org.agatehatch.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.agatehatch.api.fleet.GenerationRequest;

/** Translates between the headers of a platform and what forwarding needs to know. */
public interface HeaderCodec {
    /**
     * What a caller's headers say.
     *
     * @param attemptId the caller's id of this attempt; empty if there is none
     * @param timeoutMillis how long the caller waits
     * @param generation present if the request is for a model
     */
    record RequestMetadata(String attemptId, OptionalLong timeoutMillis, Optional<GenerationRequest> generation) {}

    /**
     * What a backend server is told about an attempt.
     *
     * @param timeoutMillis time left, if the caller gave a deadline
     * @param serverId the only backend server that may run it
     * @param urgency rank among the requests at a runner; 0 goes first
     * @param resumeAfterEventId id of the last event that the caller has; empty for a run from the start
     */
    record AttemptMetadata(OptionalLong timeoutMillis, String serverId, int urgency, String resumeAfterEventId) {}

    /**
     * What the head of an answer says.
     *
     * @param attemptId the attempt that it belongs to; empty if it doesn't say
     * @param sealed whether a backend server has signed it
     * @param declaredNotRun whether the server declares that it did not run the request
     * @param misdirected whether another server has the address, or the model isn't there
     */
    record ResponseMetadata(String attemptId, boolean sealed, boolean declaredNotRun, boolean misdirected) {}

    /** Reads a caller's headers; fails with {@link IllegalArgumentException} if they make no sense. */
    RequestMetadata readRequest(HttpRequest head);

    /** Removes headers that only the system may set, and sets those for an attempt. */
    void writeAttempt(HttpHeaders headers, AttemptMetadata terms);

    /** Reads the head of an answer. */
    ResponseMetadata readResponse(HttpResponse head);
}
