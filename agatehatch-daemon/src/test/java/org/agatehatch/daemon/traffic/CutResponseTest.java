package org.agatehatch.daemon.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.RequestClass;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.daemon.platform.PlatformHttp;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.javadsl.Sink;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a response that stopped within its head, or within the framing of its body, or that is an error, and is taken for
 * a whole one.
 */
public final class CutResponseTest {
    private static final String JSON = "{\"offset\":123}";
    private static final String FRAMES = "id: attempt:0\ndata: {}\n\nid: attempt:1\ndata: [DONE]\n\n";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    private static final String WITH_LENGTH = HEAD + "Content-Length: 14\r\n\r\n" + JSON;
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + JSON + "\r\n0\r\n\r\n";
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private ActorSystem system;
    private EngineClient client;
    private PlatformHttp platform;
    private ServerSocket listening;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile String cut;
    private volatile boolean reset;
    private volatile boolean reused;

    @BeforeClass
    public void startSystem() {
        system = ActorSystem.create("cut-response-test");
        client = new EngineClient(system, system.settings().config());
        platform = new PlatformHttp(system);
    }

    @AfterClass(alwaysRun = true)
    public void stopSystem() {
        system.terminate();
    }

    @BeforeMethod
    public void start() throws IOException {
        connections.set(0);
        listening = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        startDaemon(() -> {
            while (true) {
                Socket socket = listening.accept();
                connections.incrementAndGet();
                startDaemon(() -> serve(socket));
            }
        });
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        listening.close();
    }

    /** Answers the first request of a connection in full if it is to be reused, and stops within the next answer. */
    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            if (reused) {
                readRequest(socket.getInputStream());
                socket.getOutputStream().write(WITH_LENGTH.getBytes(StandardCharsets.ISO_8859_1));
            }
            readRequest(socket.getInputStream());
            socket.getOutputStream().write(cut.getBytes(StandardCharsets.ISO_8859_1));
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        }
    }

    private static void readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed by the peer");
            }
            head.append((char) next);
        }
        int length = head.toString()
                .lines()
                .filter(line -> line.startsWith("Content-Length: "))
                .mapToInt(line -> Integer.parseInt(
                        line.substring("Content-Length: ".length()).strip()))
                .findFirst()
                .orElse(0);
        in.readNBytes(length);
    }

    private static void startDaemon(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The listener or the connection was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {WITH_LENGTH, false, false},
            {WITH_LENGTH, false, true},
            {WITH_LENGTH, true, false},
            {WITH_LENGTH, true, true},
            {CHUNKED, false, false},
            {CHUNKED, false, true},
            {CHUNKED, true, false},
            {CHUNKED, true, true},
        };
    }

    // The response of a plain service.
    @Test(dataProvider = "responses")
    public void a_service_response_that_stops_at_any_byte_is_a_failure(
            String response, boolean resets, boolean second) {
        forEachCut(response, resets, second, () -> body(), () -> {
            AgatehatchException failure = failureOf(body());
            assertEquals(failure.outcome(), Outcome.UNKNOWN, "after '" + cut + "'");
        });
    }

    // Reads and appends of the log, orders and reports of engines.
    @Test(dataProvider = "responses")
    public void a_platform_response_that_stops_at_any_byte_is_a_failure(
            String response, boolean resets, boolean second) {
        forEachCut(response, resets, second, () -> call(), () -> {
            AgatehatchException failure = failureOf(call());
            assertEquals(failure.code(), ErrorCode.LOG_UNAVAILABLE, "after '" + cut + "'");
            assertEquals(failure.outcome(), Outcome.UNKNOWN, "after '" + cut + "'");
        });
    }

    // A response of an engine. Whether the final frame arrived decides whether it is whole.
    @Test(dataProvider = "responses")
    public void an_engine_response_that_stops_at_any_byte_has_no_final_frame(
            String response, boolean resets, boolean second) {
        String stream = stream(response);
        int finalFrame = stream.indexOf("[DONE]\n\n") + "[DONE]\n\n".length();
        forEachCut(stream.substring(0, finalFrame), resets, second, () -> body(), () -> {
            List<ResponseFrame> received;
            try {
                received = frames().toCompletableFuture().join();
            } catch (CompletionException broken) {
                return;
            }
            assertTrue(received.stream().noneMatch(ResponseFrame::last), "after '" + cut + "'");
        });
    }

    @DataProvider
    public Object[][] responsesThatAreNoStream() {
        String ok = "HTTP/1.1 200 OK\r\n";
        String events = ok + "Content-Type: text/event-stream\r\n";
        String error = "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\n";
        String done = "id: attempt:1\ndata: [DONE]\n\n";
        return new Object[][] {
            {error + "oops\n\n" + done},
            {"HTTP/1.1 500 Failed\r\nContent-Type: text/event-stream\r\n\r\n" + done},
            {"HTTP/1.1 302 Found\r\nContent-Type: text/plain\r\n\r\n" + done},
            {ok + "Content-Type: text/plain\r\n\r\noops\n\n" + done},
            {ok + "Content-Type: application/json\r\n\r\n{}"},
            {ok + "\r\n"},
            {ok + "Content-Length: 0\r\n\r\n"},
            {"HTTP/1.1 204 None\r\n\r\n"},
            {events + "Content-Length: 0\r\n\r\n"},
            {events + "\r\ndata: oops\n\n" + done},
            {events + "\r\ndata: [DONE]\n\n"},
            {events + "\r\n" + error + "data: oops\n\n"},
        };
    }

    // Guards against an error that is relayed as the rest of a stream, or that ends it as complete.
    @Test(dataProvider = "responsesThatAreNoStream")
    public void a_response_that_is_no_stream_has_no_frames(String response) {
        reset = false;
        reused = false;
        cut = response;
        List<ResponseFrame> received;
        try {
            received = frames().toCompletableFuture().join();
        } catch (CompletionException broken) {
            return;
        }
        assertEquals(received, List.of());
    }

    // Shows that the other tests fail for the cut and for nothing else.
    @Test
    public void whole_responses_are_read() {
        reset = false;
        reused = false;
        for (String whole : List.of(WITH_LENGTH, CHUNKED)) {
            cut = whole;
            assertEquals(body().toCompletableFuture().join().getData().utf8String(), JSON);
            assertEquals(call().toCompletableFuture().join(), Map.of("offset", 123));
            cut = stream(whole);
            List<ResponseFrame> received = frames().toCompletableFuture().join();
            assertEquals(received.stream().map(ResponseFrame::last).toList(), List.of(false, true));
        }
    }

    private static String stream(String response) {
        return response.replace("application/json", "text/event-stream")
                .replace("Content-Length: 14", "Content-Length: " + FRAMES.length())
                .replace("e\r\n{", Integer.toHexString(FRAMES.length()) + "\r\n{")
                .replace(JSON, FRAMES);
    }

    private void forEachCut(String response, boolean resets, boolean second, Call first, Runnable check) {
        reset = resets;
        reused = second;
        for (int length = 0; length < response.length(); length++) {
            cut = response.substring(0, length);
            int before = connections.get();
            if (second) {
                first.send().toCompletableFuture().join();
            }
            check.run();
            assertEquals(connections.get(), before + 1, "connections after '" + cut + "'");
        }
    }

    private static AgatehatchException failureOf(CompletionStage<?> call) {
        CompletionException failure = expectThrows(
                CompletionException.class, () -> call.toCompletableFuture().join());
        return Failures.toAgatehatchException(failure, "call");
    }

    private BackendServer server() {
        return new BackendServer(
                "r0", "127.0.0.1:" + listening.getLocalPort(), "domain", "region", "pool", "owner", 0, 0, false);
    }

    private CompletionStage<HttpEntity.Strict> body() {
        return client.exchange(server(), HttpRequest.GET("http://" + server().address() + "/"))
                .thenCompose(response -> response.entity().toStrict(TIMEOUT.toMillis(), system));
    }

    private CompletionStage<Map<String, Object>> call() {
        return platform.call(
                HttpRequest.GET("http://" + server().address() + "/"),
                TIMEOUT,
                new TypeReference<Map<String, Object>>() {},
                ErrorCode.LOG_UNAVAILABLE,
                "append");
    }

    private CompletionStage<List<ResponseFrame>> frames() {
        RequestContext context = new RequestContext(
                "req-1",
                true,
                "m",
                "pool",
                Optional.of("m"),
                Optional.empty(),
                "owner",
                new RequestClass("class", 50, 1_000, 1_000, 60_000),
                new long[0],
                0,
                1,
                1,
                1,
                0,
                60_000,
                1);
        byte[] request = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
                .getBytes(StandardCharsets.UTF_8);
        CompletionRequest completion = CompletionRequestReader.read(CompletionRequestReader.CHAT_PATH, request);
        return client.send(server(), completion, context, "attempt", 0)
                .thenCompose(response -> response.frames().runWith(Sink.seq(), system));
    }

    @FunctionalInterface
    private interface Call {
        CompletionStage<?> send();
    }

    @FunctionalInterface
    private interface IoTask {
        void run() throws IOException;
    }
}
