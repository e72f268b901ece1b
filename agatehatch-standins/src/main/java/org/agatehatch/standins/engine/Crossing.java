package org.agatehatch.standins.engine;

import java.util.Optional;

/** Chooses the foreign request whose frames or answer a fault mixes in. */
final class Crossing {
    private Crossing() {}

    /** Returns another running request, or an invented one if there is none. */
    static InferenceRequest of(InferenceRequest own, Optional<InferenceRequest> other) {
        return other.orElseGet(() -> new InferenceRequest(
                "crossed-" + Long.toHexString(own.seed()),
                own.chat(),
                own.stream(),
                own.model(),
                own.baseModel(),
                own.version(),
                "",
                new long[0],
                own.promptTokens(),
                own.maxTokens(),
                own.firstIndex(),
                own.priority(),
                ~own.seed()));
    }
}
