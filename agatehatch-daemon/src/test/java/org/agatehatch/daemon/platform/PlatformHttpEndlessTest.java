package org.agatehatch.daemon.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.type.TypeReference;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.daemon.endless.EndlessServer;
import org.agatehatch.daemon.endless.EndlessServer.Closed;
import org.agatehatch.daemon.endless.EndlessServer.Script;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against reports, orders and log reads that never end or fill the memory when the peer never stops writing. */
public final class PlatformHttpEndlessTest {
    private static final String JSON_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    private static final String CHUNK = "400\r\n" + " ".repeat(1024) + "\r\n";
    private static final int SLOW_BLOCK_BYTES = 8 << 10;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    /** The limit of a response head and a margin for a busy machine. */
    private static final long MAX_OPEN_MILLIS = 20_000;
    /** The largest body that is read, and the socket buffers on both sides. */
    private static final long MAX_WRITTEN_BYTES = 32L << 20;

    private ActorSystem system;

    @BeforeClass
    public void start() {
        system = ActorSystem.create("platform-http-endless-test");
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        system.terminate();
    }

    @DataProvider
    public Object[][] endlessResponses() {
        return new Object[][] {
            {"header value", Script.fast(JSON_HEAD + "X-Long: ", "x")},
            {"interim heads", Script.fast("", "HTTP/1.1 100 Continue\r\n\r\n")},
            {"slow header value", Script.slow(JSON_HEAD + "X-Long: ", "x", 100)},
            {"body without length", Script.fast(JSON_HEAD + "\r\n", " ")},
            {"chunked body", Script.fast(JSON_HEAD + "Transfer-Encoding: chunked\r\n\r\n", CHUNK)},
            {"huge length", Script.fast(JSON_HEAD + "Content-Length: 9000000000000000000\r\n\r\n", " ")},
            {"slow body", Script.slow(JSON_HEAD + "\r\n", " ", 100)},
            {"error status", Script.fast("HTTP/1.1 500 Broken\r\n\r\n", "x")},
            {"slow error status", Script.slow("HTTP/1.1 500 Broken\r\n\r\n", "x", 100)},
        };
    }

    /** Guards against a page of the log that is given up although it arrives, so that the same read is repeated for ever. */
    @Test
    public void a_page_of_the_log_that_keeps_arriving_is_read_beyond_the_time_of_a_call() {
        String json = "{\"records\":[],\"oldest_offset\":0,\"end_offset\":7}";
        int blocks = 50;
        int bytes = json.length() + blocks * SLOW_BLOCK_BYTES;
        String head = JSON_HEAD + "Content-Length: " + bytes + "\r\n\r\n" + json;
        Script script = Script.slow(head, " ".repeat(SLOW_BLOCK_BYTES), 100);
        try (EndlessServer server = EndlessServer.of(script)) {
            HttpAppendLog log = new HttpAppendLog(new PlatformHttp(system), URI.create("http://" + server.address()));

            LogBatch page = log.read("control", 0, 1, Duration.ZERO)
                    .toCompletableFuture()
                    .join();

            assertEquals(page.endOffset(), 7);
        }
    }

    // Guards against a read of the log whose answer never ends.
    @Test(dataProvider = "endlessResponses")
    public void a_read_of_the_log_fails_and_closes_the_connection_when_the_response_never_ends(
            String name, Script script) {
        try (EndlessServer server = EndlessServer.of(script)) {
            HttpAppendLog log = new HttpAppendLog(new PlatformHttp(system), URI.create("http://" + server.address()));

            CompletionException failure = expectThrows(
                    CompletionException.class,
                    () -> log.read("control", 0, 1, Duration.ZERO)
                            .toCompletableFuture()
                            .join());

            assertEquals(((AgatehatchException) failure.getCause()).code(), ErrorCode.LOG_UNAVAILABLE);
            Closed closed = server.awaitClosed();
            assertTrue(closed.writtenBytes() <= MAX_WRITTEN_BYTES, closed.toString());
            assertTrue(closed.elapsedMillis() <= MAX_OPEN_MILLIS, closed.toString());
        }
    }

    // Guards against a call that reads a response without end past its size limit or its timeout.
    @Test(dataProvider = "endlessResponses")
    public void a_call_fails_and_closes_the_connection_when_the_response_never_ends(String name, Script script) {
        try (EndlessServer server = EndlessServer.of(script)) {
            var answer = new PlatformHttp(system)
                    .call(
                            HttpRequest.GET("http://" + server.address() + "/engine/load"),
                            TIMEOUT,
                            new TypeReference<Map<String, Object>>() {},
                            ErrorCode.BACKEND_SERVER_FAILED,
                            "read load")
                    .toCompletableFuture();

            CompletionException failure = expectThrows(CompletionException.class, answer::join);

            AgatehatchException error = (AgatehatchException) failure.getCause();
            assertEquals(error.code(), ErrorCode.BACKEND_SERVER_FAILED);
            assertEquals(error.outcome(), Outcome.UNKNOWN);
            Closed closed = server.awaitClosed();
            assertTrue(closed.writtenBytes() <= MAX_WRITTEN_BYTES, closed.toString());
            assertTrue(closed.elapsedMillis() <= MAX_OPEN_MILLIS, closed.toString());
        }
    }
}
