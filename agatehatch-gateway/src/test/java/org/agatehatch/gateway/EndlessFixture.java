package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** A gateway with two backend servers that share a script of responses without end. */
final class EndlessFixture implements AutoCloseable {
    static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n";
    static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    static final EndlessServer.Response WHOLE = EndlessServer.Response.whole(HEAD + "Content-Length: 2\r\n\r\nok");

    /** The largest limit of a response, and what the socket buffers of both ends may hold on top of it. */
    private static final long MAX_SENT_BYTES = 20L * 1024 * 1024;

    final EndlessServer.Script script = new EndlessServer.Script();
    final EndlessServer one;
    final EndlessServer two;
    final TestGateway gateway;

    EndlessFixture() throws IOException {
        one = new EndlessServer(script);
        two = new EndlessServer(script);
        gateway = new TestGateway(List.of(one.port(), two.port())).configured();
    }

    /** Sends a request and returns what the caller reads until its connection closes. */
    String post(String target) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", target, "Connection: close\r\n", "body"));
            return caller.readAll();
        }
    }

    int connections() {
        return one.connections.get() + two.connections.get();
    }

    int closes() {
        return one.closedByPeer.get() + two.closedByPeer.get();
    }

    /** Checks the status at the caller, the number of sends and that each server saw its connection closed early. */
    void assertCutOff(String target, int status, int sends) throws IOException {
        String response = post(target);
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        assertEquals(script.requests.get(), sends);
        assertClosedEarly(sends);
    }

    void assertClosedEarly(int closed) {
        await("close of the connections", () -> closes() == closed);
        long sentBytes = one.bytesSent.get() + two.bytesSent.get();
        assertTrue(sentBytes < closed * MAX_SENT_BYTES, "sent before the close: " + sentBytes + " bytes");
    }

    static void await(String what, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNanos, "not seen: " + what);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    @Override
    public void close() throws IOException {
        gateway.close();
        one.close();
        two.close();
    }
}
