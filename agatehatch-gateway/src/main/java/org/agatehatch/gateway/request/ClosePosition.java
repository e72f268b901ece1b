package org.agatehatch.gateway.request;

import java.util.Locale;

/** Where in an answer without length or chunks its connection closed. */
enum ClosePosition {
    NO_EVENT,
    WITHIN_EVENT,
    AFTER_EVENT,
    /** In an answer that is no stream. */
    BODY;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
