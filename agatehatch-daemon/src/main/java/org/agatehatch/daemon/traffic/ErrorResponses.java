package org.agatehatch.daemon.traffic;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** Renders errors in the OpenAI format, extended by step, peer and outcome. */
public final class ErrorResponses {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FIRST_SERVER_ERROR = 500;

    private ErrorResponses() {}

    /** Returns the response for an error, with a {@code Retry-After} header if {@code retryAfterSeconds} is present. */
    public static HttpResponse of(AgatehatchException error, OptionalLong retryAfterSeconds) {
        HttpResponse response = HttpResponse.create()
                .withStatus(error.code().httpStatus())
                .addHeader(RawHeader.create(Outcome.HEADER, error.outcome().wireName()))
                .withEntity(ContentTypes.APPLICATION_JSON, body(error));
        if (retryAfterSeconds.isEmpty()) {
            return response;
        }
        return response.addHeader(RawHeader.create("Retry-After", Long.toString(retryAfterSeconds.getAsLong())));
    }

    /** Returns the JSON body for an error, which is also the data of the {@code error} event that ends a stream. */
    public static String body(AgatehatchException error) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("error")
                .put("message", error.getMessage())
                .put("type", type(error.code()))
                .put("code", error.code().wireName())
                .put("step", error.step())
                .put("peer", error.peer())
                .put("outcome", error.outcome().wireName());
        return root.toString();
    }

    private static String type(ErrorCode code) {
        if (code.httpStatus() >= FIRST_SERVER_ERROR) {
            return "server_error";
        }
        return code == ErrorCode.OVERLOADED || code == ErrorCode.OWNER_LIMIT_REACHED
                ? "rate_limit_error"
                : "invalid_request_error";
    }
}
