package org.agatehatch.gateway.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the bytes of incomplete responses that this node holds, in total and for each server process, so that faulty servers cannot
 * exhaust the heap while each of their responses keeps to its own limit. Runs on the traffic thread.
 */
public final class ResponseMemory {
    /** The share of one server process: 32 plain responses of the maximum size, or thousands of the usual one. */
    static final long MAX_SERVER_BYTES = 32L * ResponseRelay.MAX_PLAIN_BODY_BYTES;

    /** Buffers grow by doubling, so the heap holds about twice as much: 48 MiB of 128 MiB. */
    static final long MAX_TOTAL_BYTES = 3 * MAX_SERVER_BYTES;

    private final Map<String, Long> bytesByProcess = new HashMap<>();
    private long totalBytes;

    /** Takes memory for a part of a server's response if the limits allow it, and returns whether they do. */
    boolean tryTake(String process, int bytes) {
        long ofServer = bytesByProcess.getOrDefault(process, 0L) + bytes;
        if (ofServer > MAX_SERVER_BYTES || totalBytes + bytes > MAX_TOTAL_BYTES) {
            return false;
        }
        bytesByProcess.put(process, ofServer);
        totalBytes += bytes;
        return true;
    }

    /** Returns memory that was taken for a server's response. */
    void release(String process, long bytes) {
        if (bytes == 0) {
            return;
        }
        bytesByProcess.computeIfPresent(process, (key, held) -> held > bytes ? held - bytes : null);
        totalBytes -= bytes;
    }
}
