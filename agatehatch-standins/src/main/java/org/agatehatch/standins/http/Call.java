package org.agatehatch.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** A request whose body was read, with the connection it came on. */
@SuppressWarnings("ArrayRecordComponent") // Calls are never compared.
public record Call(HttpRequest request, byte[] body, Connection connection) {
    /** Returns the HTTP method in upper case. */
    public String method() {
        return request.method().value();
    }

    /** Returns the decoded path. */
    public String path() {
        return request.getUri().path();
    }

    /** Returns method and path, for example {@code GET /vms}. */
    public String target() {
        return method() + " " + path();
    }

    /** Returns the parts of the path between slashes. */
    public List<String> segments() {
        return List.of(path().substring(1).split("/", -1));
    }

    /** Returns the value of a header. */
    public Optional<String> header(String name) {
        return request.getHeader(name).map(HttpHeader::value);
    }

    /** Returns the body as JSON; fails with {@code INVALID_REQUEST}. */
    public JsonNode json() {
        return Json.tree(body);
    }

    /** Returns a whole number of the query; fails with {@code INVALID_REQUEST} outside the bounds. */
    public long longParameter(String name, long defaultValue, long minimum, long maximum) {
        Optional<String> text = request.getUri().query().get(name);
        return text.isEmpty() ? defaultValue : parse("parameter " + name, text.get(), minimum, maximum);
    }

    /** Returns a whole number of a header; fails with {@code INVALID_REQUEST} outside the bounds. */
    public long longHeader(String name, long defaultValue, long minimum, long maximum) {
        Optional<String> text = header(name);
        return text.isEmpty() ? defaultValue : parse("header " + name, text.get(), minimum, maximum);
    }

    private static long parse(String what, String text, long minimum, long maximum) {
        try {
            long value = Long.parseLong(text);
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            // Reported below, as a number outside the bounds is.
        }
        throw invalid(what + " is '" + text + "'; it must be a whole number from " + minimum + " to " + maximum);
    }

    /** Returns the error for a request that is not well formed. */
    public static AgatehatchException invalid(String message) {
        return new AgatehatchException(ErrorCode.INVALID_REQUEST, "parse", "self", Outcome.NOT_RUN, message);
    }
}
