package org.agatehatch.api.fleet;

/** A numeric IP address and a port. */
public record PeerAddress(String host, int port) {
    /** Parses {@code IP:PORT}. */
    public static PeerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("'" + text + "' is not IP:PORT");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("the port in '" + text + "' is not from 1 to 65535");
        }
        return new PeerAddress(text.substring(0, colon), port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
