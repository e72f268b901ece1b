package org.agatehatch.daemon.traffic;

/**
 * One frame of a backend server's response.
 *
 * @param attempt id of the attempt that the frame belongs to, as sent by the backend server
 * @param index position in the response, from 0
 * @param data payload; must not be modified
 * @param last whether this is the final frame
 */
@SuppressWarnings("ArrayRecordComponent") // Payloads are forwarded and never compared.
public record ResponseFrame(String attempt, long index, byte[] data, boolean last) {
    /** Payload of the final frame of a model's response. */
    public static final String DONE = "[DONE]";
}
