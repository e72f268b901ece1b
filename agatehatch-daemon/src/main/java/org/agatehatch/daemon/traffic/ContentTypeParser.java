package org.agatehatch.daemon.traffic;

import java.util.Optional;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;

/** Content types as backend servers name them. */
final class ContentTypeParser {
    private ContentTypeParser() {}

    /** Returns the named type, or {@code application/octet-stream} if the name is not valid. */
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
