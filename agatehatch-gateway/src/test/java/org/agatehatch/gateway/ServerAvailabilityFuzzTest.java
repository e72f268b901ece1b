package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against any path that sends a request to a server that leaves or has closed itself, in random sequences of answers. */
public final class ServerAvailabilityFuzzTest {
    private static final int SERVERS = 5;
    private static final int CALLERS = 12;
    private static final int REQUESTS_OF_CALLER = 60;
    private static final List<String> ROUTES = List.of("once", "safe", "stream", "resume");

    /** Time for which requests that were sent before the notice arrived may still arrive. */
    private static final long IN_FLIGHT_MILLIS = 500;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}};
    }

    @Test(dataProvider = "seeds")
    public void no_request_arrives_after_a_notice_whatever_the_answers_are(int seed) throws Exception {
        List<ChangingServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ChangingServer(seed * 100 + i));
        }
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        AtomicInteger answered = new AtomicInteger();
        try (TestGateway gateway =
                new TestGateway(servers.stream().map(ChangingServer::port).toList()).configured()) {
            for (int i = 0; i < CALLERS; i++) {
                Random random = new Random(seed * 1_000 + i);
                callers.execute(() -> call(gateway, random, answered));
            }
            callers.shutdown();
            assertTrue(callers.awaitTermination(60, TimeUnit.SECONDS), "the callers have ended");
        } finally {
            callers.shutdownNow();
            for (ChangingServer server : servers) {
                server.listening.close();
            }
        }
        assertTrue(answered.get() > 0, "requests that were answered");
        for (ChangingServer server : servers) {
            assertEquals(server.unwanted, List.of(), "requests after a notice, seed " + seed);
        }
    }

    private static void call(TestGateway gateway, Random random, AtomicInteger answered) {
        for (int i = 0; i < REQUESTS_OF_CALLER; i++) {
            try (RawCaller caller = new RawCaller(gateway.port)) {
                String route = ROUTES.get(random.nextInt(ROUTES.size()));
                caller.send(RawCaller.request("POST", "/" + route + "/1", "Connection: close\r\n", "body"));
                answered.addAndGet(caller.readAll().startsWith("HTTP/1.1 200 ") ? 1 : 0);
                RunnerStandIn.pause(random.nextInt(40));
            } catch (IOException e) {
                // The answer was cut, as the random answers of servers may be.
            }
        }
    }

    /** Answers each request at random, and records the requests that arrive although it has said that it wants none. */
    private static final class ChangingServer {
        private final ServerSocket listening = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        private final List<String> unwanted = new ArrayList<>();
        private final Random random;
        private long leavingSinceMillis = Long.MAX_VALUE;
        private long closedSinceMillis = Long.MAX_VALUE;
        private long closedUntilMillis;

        private ChangingServer(long seed) throws IOException {
            random = new Random(seed);
            start(() -> {
                while (true) {
                    Socket socket = listening.accept();
                    start(() -> serve(socket));
                }
            });
        }

        private int port() {
            return listening.getLocalPort();
        }

        private static void start(IoTask task) {
            Thread thread = new Thread(() -> {
                try {
                    task.run();
                } catch (IOException expected) {
                    // The gateway or the test has closed the connection or the listener.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                while (true) {
                    String head = readRequest(socket.getInputStream());
                    if (head.isEmpty()) {
                        return;
                    }
                    String answer =
                            answer(ScriptedServer.header(head, "x-id"), head.contains("/re") || head.contains("/st"));
                    RunnerStandIn.pause(pauseMillis());
                    OutputStream out = socket.getOutputStream();
                    out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                    if (answer.contains("CUT")) {
                        return;
                    }
                }
            }
        }

        private synchronized long pauseMillis() {
            return random.nextInt(10) == 0 ? random.nextInt(500) : random.nextInt(30);
        }

        private synchronized String answer(String id, boolean stream) {
            long nowMillis = RunnerStandIn.nowMillis();
            // The pause before an answer is a part of the time that it takes to reach the gateway.
            long noticedMillis = nowMillis - IN_FLIGHT_MILLIS - 500;
            if (noticedMillis > leavingSinceMillis) {
                unwanted.add("left " + (nowMillis - leavingSinceMillis) + " ms ago");
            }
            if (noticedMillis > closedSinceMillis && nowMillis < closedUntilMillis) {
                unwanted.add("closed " + (nowMillis - closedSinceMillis) + " ms ago");
            }
            if (leavingSinceMillis == Long.MAX_VALUE && random.nextInt(120) == 0) {
                leavingSinceMillis = nowMillis;
            }
            String own = "X-Id: " + id + "\r\n" + (leavingSinceMillis < Long.MAX_VALUE ? "X-Leaving: 1\r\n" : "");
            int kind = random.nextInt(12);
            if (kind == 0) {
                return "HTTP/1.1 503 B\r\nX-Not-Run: 1\r\n" + own + close(nowMillis) + "Content-Length: 0\r\n\r\n";
            }
            if (kind == 1) {
                return "HTTP/1.1 503 B\r\nX-Not-Run: 1\r\n" + own + "Content-Length: 0\r\n\r\n";
            }
            if (kind == 2) {
                return "HTTP/1.1 500 E\r\nX-Seal: s\r\n" + own + "Content-Length: 0\r\n\r\n";
            }
            String ok = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n" + own;
            if (stream) {
                String events = "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
                return ok + events + (kind == 3 ? "CUT" : "0\r\n\r\n");
            }
            return ok + (kind == 3 ? "Content-Length: 9\r\n\r\nCUT" : "Content-Length: 0\r\n\r\n");
        }

        private String close(long nowMillis) {
            long closedMillis = 500 + random.nextInt(2_500);
            if (nowMillis >= closedUntilMillis) {
                closedSinceMillis = nowMillis;
            }
            // A closure that begins later may end sooner; the time of the pause before the answer counts as well.
            closedUntilMillis = Math.max(closedUntilMillis, nowMillis + closedMillis);
            return "X-Closed-Ms: " + closedMillis + "\r\n";
        }

        private static String readRequest(InputStream in) throws IOException {
            StringBuilder text = new StringBuilder();
            while (text.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return "";
                }
                text.append((char) next);
            }
            String length = ScriptedServer.header(text.toString(), "content-length");
            in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
            return text.toString();
        }

        @FunctionalInterface
        private interface IoTask {
            void run() throws IOException;
        }
    }
}
