package org.agatehatch.internal.request;

import net.openhft.hashing.LongHashFunction;

/** Non-cryptographic hash that identifies repetitions of a request across nodes. */
public final class RequestHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RequestHash() {}

    /** Returns the hash of a request's method, target and body; it is the same at all nodes. */
    public static long of(String method, String target, byte[] body) {
        return HASH.hashChars(method + ' ' + target) * 31 + HASH.hashBytes(body);
    }
}
