package org.agatehatch.daemon.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.RequestClass;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.Outcome;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EngineClientTest {
    /** With a backoff that starts at 100 ms and doubles, the last of these attempts would wait for over a minute. */
    private static final int FAILED_ATTEMPTS = 14;

    private static final long ATTEMPT_LIMIT_MILLIS = 15_000;

    /** Too large to arrive together with the head, which would need no later read. */
    private static final int LARGE_BODY_BYTES = 4 << 20;

    /** Longer than the time after which the HTTP client ends an unread response by default. */
    private static final long PAUSE_MILLIS = 2_500;

    private ActorSystem system;
    private EngineClient client;

    @BeforeMethod
    public void start() {
        system = ActorSystem.create("engine-client-test");
        client = new EngineClient(system, system.settings().config());
    }

    @AfterMethod
    public void stop() {
        system.terminate();
    }

    /**
     * Guards against requests that wait for the connection pool until their deadline, although other servers are
     * available or their server is back.
     */
    @Test
    public void an_attempt_does_not_wait_because_earlier_attempts_could_not_connect() throws Exception {
        int port = unusedPort();
        for (int i = 0; i < FAILED_ATTEMPTS; i++) {
            ExecutionException refused = expectThrows(ExecutionException.class, () -> call(port));
            assertEquals(((AgatehatchException) Failures.unwrap(refused)).outcome(), Outcome.NOT_RUN);
        }

        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        server.createContext("/", exchange -> {
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        server.start();
        try {
            assertEquals(call(port).status().intValue(), 200);
        } finally {
            server.stop(0);
        }
    }

    /** Guards against cutting a response because this process paused between its head and its first byte. */
    @Test
    public void a_response_that_is_read_late_is_complete() throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        byte[] body = new byte[LARGE_BODY_BYTES];
        server.createContext("/", exchange -> {
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        try {
            HttpResponse response = response(server.getAddress().getPort());
            Thread.sleep(PAUSE_MILLIS);
            int received = response.entity()
                    .toStrict(ATTEMPT_LIMIT_MILLIS, system)
                    .toCompletableFuture()
                    .get(ATTEMPT_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                    .getData()
                    .size();
            assertEquals(received, LARGE_BODY_BYTES);
        } finally {
            server.stop(0);
        }
    }

    /** Guards against a request that is not retried, although its refusal said that it was not run, because of a slow body. */
    @Test
    public void a_refusal_whose_body_does_not_arrive_is_known_as_not_run() throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            exchange.getResponseHeaders().add(Outcome.HEADER, Outcome.NOT_RUN.wireName());
            exchange.sendResponseHeaders(503, LARGE_BODY_BYTES);
        });
        server.start();
        try {
            ExecutionException refused = expectThrows(
                    ExecutionException.class, () -> send(server.getAddress().getPort()));
            assertEquals(
                    Failures.toAgatehatchException(Failures.unwrap(refused), "send")
                            .outcome(),
                    Outcome.NOT_RUN);
        } finally {
            server.stop(0);
        }
    }

    private AttemptResponse send(int port) throws Exception {
        String path = CompletionRequestReader.CHAT_PATH;
        byte[] body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
                .getBytes(StandardCharsets.UTF_8);
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
        return client.send(server(port), CompletionRequestReader.read(path, body), context, "attempt", 0)
                .toCompletableFuture()
                .get(ATTEMPT_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private HttpResponse call(int port) throws Exception {
        HttpResponse response = response(port);
        response.discardEntityBytes(system);
        return response;
    }

    private HttpResponse response(int port) throws Exception {
        BackendServer server = server(port);
        return client.exchange(server, HttpRequest.GET("http://" + server.address() + "/"))
                .toCompletableFuture()
                .get(ATTEMPT_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static BackendServer server(int port) {
        return new BackendServer("r0", "127.0.0.1:" + port, "domain", "region", "pool", "owner", 0, 0, false);
    }

    private static int unusedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
