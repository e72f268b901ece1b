package org.agatehatch.internal.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hashes that identify requests. All are derived from SHA-256, because a caller that could construct collisions could
 * cause the quarantine of another caller's request.
 */
public final class RequestFingerprint {
    private RequestFingerprint() {}

    /** Returns the first 64 bits of the SHA-256 of an entry and a request body. */
    public static long of(String entry, byte[] body) {
        return ByteBuffer.wrap(sha256(entry.getBytes(StandardCharsets.UTF_8), body))
                .getLong();
    }

    /** Returns the SHA-256 of a body in hexadecimal digits. */
    public static String digest(byte[] body) {
        return HexFormat.of().formatHex(sha256(body));
    }

    /** Hashes several parts with their lengths, so that moving a byte from one part to the next changes the hash. */
    static byte[] sha256(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            if (parts.length == 1) {
                return digest.digest(parts[0]);
            }
            for (byte[] part : parts) {
                digest.update(
                        ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
                digest.update(part);
            }
            return digest.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", e);
        }
    }
}
