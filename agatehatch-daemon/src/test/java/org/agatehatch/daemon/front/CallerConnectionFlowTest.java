package org.agatehatch.daemon.front;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that go on for a caller who has left. */
public final class CallerConnectionFlowTest {
    private static final long LIMIT_SECONDS = 20;

    private final CompletableFuture<HttpResponse> unanswered = new CompletableFuture<>();
    private ActorSystem system;
    private ServerBinding binding;
    private CompletableFuture<Void> arrived;
    private CompletableFuture<Void> left;

    @BeforeMethod
    public void start() throws Exception {
        system = ActorSystem.create("caller-connection-test");
        arrived = new CompletableFuture<>();
        left = new CompletableFuture<>();
        binding = Http.get(system)
                .newServerAt("127.0.0.1", 0)
                .bindFlow(CallerConnectionFlow.of((request, caller) -> {
                    caller.whenLeft(() -> left.complete(null));
                    arrived.complete(null);
                    return unanswered;
                }))
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        system.terminate();
    }

    @FunctionalInterface
    private interface Departure {
        void leave(Socket socket) throws IOException;
    }

    @DataProvider
    public Object[][] departures() {
        Departure close = Socket::close;
        Departure endOutput = Socket::shutdownOutput;
        Departure reset = socket -> {
            socket.setSoLinger(true, 0);
            socket.close();
        };
        return new Object[][] {{"close", close}, {"end of input", endOutput}, {"reset", reset}};
    }

    @Test(dataProvider = "departures")
    public void a_request_in_progress_learns_that_its_caller_has_left(String name, Departure departure)
            throws Exception {
        try (Socket socket = new Socket("127.0.0.1", binding.localAddress().getPort())) {
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            arrived.get(LIMIT_SECONDS, TimeUnit.SECONDS);
            departure.leave(socket);
            left.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }
    }
}
