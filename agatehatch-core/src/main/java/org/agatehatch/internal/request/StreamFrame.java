package org.agatehatch.internal.request;

/**
 * One frame of a response. A response that is not streamed is a single frame.
 *
 * @param index position in the response, from 0; a resumed attempt continues the numbering
 * @param data payload as the backend server sent it; must not be modified
 * @param last whether this frame completes the response
 */
@SuppressWarnings("ArrayRecordComponent") // Payloads are forwarded and never compared.
public record StreamFrame(AttemptId attempt, long index, byte[] data, boolean last) {}
