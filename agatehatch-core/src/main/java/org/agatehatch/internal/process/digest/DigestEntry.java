package org.agatehatch.internal.process.digest;

/**
 * One entry of the digest. Of two entries with the same kind and key, the one with the higher version wins.
 *
 * @param key hash of the name that the entry describes; only the lower 32 bits are used, which keeps entries small
 * @param version wall-clock time of the publishing node in milliseconds, increased if necessary so that each version
 *     of an entry is higher than the last
 * @param payload MessagePack-encoded content
 */
@SuppressWarnings("ArrayRecordComponent") // Payloads are opaque here and compared by version.
public record DigestEntry(DigestKind kind, long key, long version, byte[] payload) {
    private static final long KEY_MASK = 0xffff_ffffL;

    public DigestEntry {
        key &= KEY_MASK;
    }

    /** Returns the identity of the entry. */
    public Identity identity() {
        return new Identity(kind, key);
    }

    /** Identity of an entry. */
    public record Identity(DigestKind kind, long key) {
        public Identity {
            key &= KEY_MASK;
        }
    }
}
