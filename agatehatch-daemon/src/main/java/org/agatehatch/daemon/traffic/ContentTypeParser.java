package org.agatehatch.daemon.traffic;

import java.util.Optional;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;

/** Parses content types that backend servers send. */
final class ContentTypeParser {
    private ContentTypeParser() {}

    /** Returns the content type, or {@code application/octet-stream} if {@code name} is empty or not valid. */
    static ContentType parse(String name) {
        return Optional.of(name)
                .filter(text -> !text.isEmpty())
                .flatMap(ContentTypeParser::tryParse)
                .orElse(ContentTypes.APPLICATION_OCTET_STREAM);
    }

    private static Optional<ContentType> tryParse(String name) {
        return Optional.ofNullable(ContentTypes.parse(name));
    }
}
