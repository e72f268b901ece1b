package org.agatehatch.daemon.traffic;

/**
 * One part of a backend server's answer.
 *
 * @param attempt identity of the attempt that the backend server says the frame belongs to
 * @param index position in the answer, from 0
 * @param data payload; not to be modified
 * @param last whether the answer is complete after this frame
 */
@SuppressWarnings("ArrayRecordComponent") // Payloads are passed on and never compared.
public record ResponseFrame(String attempt, long index, byte[] data, boolean last) {
    /** Data of the final frame of a model's answer. */
    public static final String DONE = "[DONE]";
}
