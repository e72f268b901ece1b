package org.agatehatch.api.peer;

/**
 * A message between nodes.
 *
 * @param type name of the message type, for example {@code claim}; receivers ignore unknown types
 * @param body MessagePack-encoded body
 */
@SuppressWarnings("ArrayRecordComponent") // Bodies are opaque to the transport and never compared.
public record PeerMessage(String type, byte[] body) {}
