package org.agatehatch.daemon.usage;

import static org.testng.Assert.assertTrue;

import java.net.URI;
import org.agatehatch.daemon.endless.EndlessServer;
import org.agatehatch.daemon.endless.EndlessServer.Closed;
import org.agatehatch.daemon.endless.EndlessServer.Reply;
import org.agatehatch.daemon.endless.EndlessServer.Script;
import org.agatehatch.standins.PlatformSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public final class EndlessChunkSizeUsageTest {
    private static final Script ZEROS =
            Script.fast("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n", "0");
    private static final long DEADLINE_MILLIS = 6_000;
    private static final long MAX_OPEN_MILLIS = DEADLINE_MILLIS + 14_000;

    private Deployment deployment;
    private EndlessServer endless;

    @BeforeClass
    public void start() {
        deployment = new Deployment(PlatformSettings.standard(2, 20).withService("order-desk", 1));
        deployment.startNode("node-1", "domain-a");
        String address = deployment.platform().addresses().services().get(0).address();
        endless = new EndlessServer(
                request -> request.startsWith("POST /orders") ? new Reply.Endless(ZEROS) : new Reply.Relayed(address));
        String catalogue = Catalogues.standard(deployment.platform().addresses())
                .replaceAll("first_token_ms: \\d+", "first_token_ms: " + DEADLINE_MILLIS)
                .replaceAll("whole_answer_ms: \\d+", "whole_answer_ms: " + DEADLINE_MILLIS)
                .replace("\"" + address + "\"", "\"" + endless.address() + "\"");
        Deployment.await(
                "the catalogue is accepted",
                () -> deployment.apply(0, catalogue, 0).statusCode() == 200);
        deployment.awaitServing("counter-8b");
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        deployment.close();
        endless.close();
    }

    // Guards against a connection that is read, with much processor time, long after the deadline of its request,
    // because the
    // size of a chunk starts with zeros without end.
    @Test
    public void a_connection_with_a_chunk_size_without_end_is_closed_soon_after_the_deadline() {
        deployment.post(URI.create(deployment.url(0) + "/services/orders/orders"), "{}");

        Closed closed = endless.awaitClosed();
        assertTrue(closed.elapsedMillis() <= MAX_OPEN_MILLIS, closed.toString());
    }
}
