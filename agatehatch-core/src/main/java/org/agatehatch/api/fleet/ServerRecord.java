package org.agatehatch.api.fleet;

/**
 * A decoded record of a backend server's registration.
 *
 * @param renewals number of records that the server's process had written before this one, 0 or more
 */
public record ServerRecord(ServerEntry entry, long renewals) {
    /** Decodes the records of a platform. Others than the servers may write records too. */
    @FunctionalInterface
    public interface Decoder {
        /**
         * Decodes a record.
         *
         * @throws IllegalArgumentException if the record names no usable server; the message says why
         */
        ServerRecord decode(String serverId, byte[] record);
    }
}
