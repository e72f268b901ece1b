package org.agatehatch.api.log;

/**
 * One record of a log stream.
 *
 * @param offset position in the stream
 * @param payload bytes as appended; callers must not modify them
 */
@SuppressWarnings("ArrayRecordComponent") // Payloads are compared by offset, never by content.
public record LogRecord(long offset, byte[] payload) {}
