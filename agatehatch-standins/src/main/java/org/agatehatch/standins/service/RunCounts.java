package org.agatehatch.standins.service;

import java.math.BigInteger;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Counts what truly ran, across crashes of the process that ran it. Safe for use by several threads. */
public final class RunCounts {
    private final Map<String, Long> byKey = new TreeMap<>();
    private final Map<String, Long> byBody = new TreeMap<>();
    private long total;

    /**
     * Counts at one time.
     *
     * @param byKey runs per value of the header {@code Idempotency-Key}
     * @param byBody runs per SHA-256 of the body
     */
    public record Figures(long total, Map<String, Long> byKey, Map<String, Long> byBody) {
        public Figures {
            byKey = Map.copyOf(byKey);
            byBody = Map.copyOf(byBody);
        }
    }

    synchronized long count(Optional<String> key, byte[] body) {
        key.ifPresent(value -> byKey.merge(value, 1L, Long::sum));
        byBody.merge(digest(body), 1L, Long::sum);
        return ++total;
    }

    /** Returns the counts so far. */
    public synchronized Figures figures() {
        return new Figures(total, byKey, byBody);
    }

    /** Returns the SHA-256 of a body in lower-case hexadecimal digits. */
    public static String digest(byte[] body) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(body);
            return String.format("%064x", new BigInteger(1, digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
