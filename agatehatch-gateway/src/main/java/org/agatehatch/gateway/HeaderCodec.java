package org.agatehatch.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.agatehatch.api.fleet.GenerationRequest;

/** Reads and writes the HTTP headers of a platform that forwarding depends on. */
public interface HeaderCodec {
    /**
     * Fields of a caller's request headers.
     *
     * @param attemptId id that the caller gave this attempt; empty if absent
     * @param timeoutMillis time the caller waits for the response, if stated
     * @param generation present if the request is for a model
     * @param takeUp present if the caller goes on with a stream that broke off
     */
    record RequestMetadata(
            String attemptId,
            OptionalLong timeoutMillis,
            Optional<GenerationRequest> generation,
            Optional<TakeUp> takeUp) {}

    /**
     * The stream that a caller goes on with.
     *
     * @param originAttemptId attempt of the caller that received the first event; empty if the caller does not name it
     */
    record TakeUp(String originAttemptId) {}

    /**
     * What a request carries to name its team.
     *
     * @param present whether the request carries anything
     * @param key the API key; empty if there is none or it is malformed
     */
    record Credential(boolean present, Optional<String> key) {
        /** Nothing. */
        public static final Credential ABSENT = new Credential(false, Optional.empty());

        /** Several credentials, or one that is none of the platform's. */
        public static final Credential MALFORMED = new Credential(true, Optional.empty());

        /** Creates a well-formed credential. */
        public static Credential ofKey(String key) {
            return new Credential(true, Optional.of(key));
        }

        /** Does not name the key, so that no log line does. */
        @Override
        public String toString() {
            return "Credential[present=" + present + ", wellFormed=" + key.isPresent() + "]";
        }
    }

    /**
     * Fields of the headers that are sent to a backend server with an attempt.
     *
     * @param timeoutMillis time left until the request's deadline, if it has one
     * @param serverId the only backend server that may run the request
     * @param urgency rank among the requests queued at a runner; 0 is served first
     * @param resumeAfterEventId id of the last event that the caller has received; empty to run from the start
     * @param removesCredential whether the caller's credential is for this system, and not for the server
     * @param team name of the caller's team; empty if there is none
     */
    record AttemptMetadata(
            OptionalLong timeoutMillis,
            String serverId,
            int urgency,
            String resumeAfterEventId,
            boolean removesCredential,
            String team) {
        /** Creates the fields for a configuration without teams. */
        public AttemptMetadata(OptionalLong timeoutMillis, String serverId, int urgency, String resumeAfterEventId) {
            this(timeoutMillis, serverId, urgency, resumeAfterEventId, false, "");
        }
    }

    /**
     * Fields of the head of a backend server's response.
     *
     * @param attemptId attempt that the response belongs to; empty if not stated
     * @param sealed whether the response carries a backend server's signature
     * @param declaredNotRun whether the server declares that it did not run the request
     * @param misdirected whether another server runs at the address, or the server does not hold the model
     * @param limitPerSecond requests per second that the server takes from all nodes together, 0 or more; empty if it states
     *     no limit
     * @param leaving whether the server says that it is leaving
     * @param closedForMillis time for which a server that is too busy wants no requests from this node; empty if it states none
     * @param maxTurnedAwayPerSecond requests a second that the server can turn away without failing; empty if it states none
     */
    record ResponseMetadata(
            String attemptId,
            boolean sealed,
            boolean declaredNotRun,
            boolean misdirected,
            OptionalDouble limitPerSecond,
            boolean leaving,
            OptionalLong closedForMillis,
            OptionalDouble maxTurnedAwayPerSecond) {}

    /**
     * Reads a caller's request headers.
     *
     * @throws IllegalArgumentException if a header is missing, duplicated or malformed
     */
    RequestMetadata readRequest(HttpRequest head);

    /** Reads a caller's credential. What is malformed is no error here, since a public route ignores it. */
    Credential readCredential(HttpRequest head);

    /** Sets the headers by which a response asks for a credential. */
    void writeChallenge(HttpHeaders headers);

    /** Removes headers that callers must not set, and sets the headers of an attempt. */
    void writeAttempt(HttpHeaders headers, AttemptMetadata terms);

    /** Reads the head of a backend server's response. */
    ResponseMetadata readResponse(HttpResponse head);
}
