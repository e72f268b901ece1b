package org.agatehatch.cli.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.OptionalLong;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * An answer with a status below 300.
 *
 * @param catalogueVersion version that the node named in its header, if any
 */
public record NodeAnswer(String url, String body, OptionalLong catalogueVersion) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns the body as JSON. */
    public JsonNode json() {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new AgatehatchException(
                    ErrorCode.BAD_FRAME,
                    "read answer",
                    url,
                    Outcome.RAN,
                    "the answer of " + url + " is no JSON; check that the URL names an agatehatch node",
                    e);
        }
    }
}
