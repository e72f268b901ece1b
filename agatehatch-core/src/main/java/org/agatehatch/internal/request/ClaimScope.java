package org.agatehatch.internal.request;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Identifies an idempotency key within an owner and a service. It is a 128-bit hash, so that its size does not depend
 * on the length of the key.
 *
 * @param hash 32 hexadecimal digits
 */
public record ClaimScope(String hash) {
    private static final int HASH_BYTES = 16;

    public static ClaimScope of(String owner, String service, IdempotencyKey key) {
        byte[] digest = RequestFingerprint.sha256(
                owner.getBytes(StandardCharsets.UTF_8),
                service.getBytes(StandardCharsets.UTF_8),
                key.value().getBytes(StandardCharsets.UTF_8));
        return new ClaimScope(HexFormat.of().formatHex(digest, 0, HASH_BYTES));
    }

    /**
     * Returns the claim partition of this scope, from 0 to {@code partitions - 1}. The number of partitions must not
     * change during the life of a deployment, because claims in the old partitions would no longer be found.
     */
    public int partition(int partitions) {
        return (int) Long.remainderUnsigned(Long.parseUnsignedLong(hash, 0, 16, 16), partitions);
    }
}
