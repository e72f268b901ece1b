import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;

/**
 * A runner in a process of its own. Its streams have 13 events, 100 ms apart, come with neither a length nor chunks, and end with
 * their connection; its other answers have a length. It writes its entry when it starts, or as soon after
 * that as it reaches the store, and every heartbeat from then on. It says in its output what it ran.
 *
 * <p>Arguments: id, service, port to listen on, address for its entry, address of the store, start in Unix milliseconds, version
 * of its software. Each event names the runner's software version.
 */
final class Runner {
    static final int EVENTS = 13;

    private Runner() {}

    public static void main(String[] arguments) throws IOException {
        String id = arguments[0];
        String version = arguments[6];
        String entry = "{\"service\":\"" + arguments[1] + "\",\"addr\":\"" + arguments[3]
                + "\",\"zone\":\"mvd-a\",\"version\":\"" + version + "\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,"
                + "\"models\":[],\"born\":" + arguments[5] + ",\"seq\":";
        ServerSocket listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), Integer.parseInt(arguments[2])), 256);
        Thread beats = new Thread(() -> {
            long seq = 0;
            while (true) {
                long pause = Kit.HEARTBEAT_MILLIS;
                try {
                    put("http://" + arguments[4] + "/servers/" + id, entry + ++seq + "}");
                } catch (IOException e) {
                    System.out.println("no answer of the store: " + e);
                    pause = 100;
                }
                Kit.sleep(pause);
            }
        });
        beats.start();
        while (true) {
            Socket socket = listening.accept();
            Kit.daemon(() -> {
                try (socket) {
                    serve(socket, id, version);
                }
            });
        }
    }

    private static void put(String url, String body) throws IOException {
        HttpURLConnection call = (HttpURLConnection) new URL(url).openConnection();
        call.setConnectTimeout(400);
        call.setReadTimeout(400);
        call.setRequestMethod("PUT");
        call.setDoOutput(true);
        call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        call.getResponseCode();
        call.getInputStream().readAllBytes();
    }

    private static void serve(Socket socket, String id, String version) throws IOException {
        socket.setTcpNoDelay(true);
        OutputStream out = socket.getOutputStream();
        while (true) {
            String head = Kit.readHead(socket.getInputStream());
            if (head.isEmpty()) {
                return;
            }
            String length = Kit.field(head, "Content-Length");
            socket.getInputStream().readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
            if (head.startsWith("GET /health ")) {
                write(out, "HTTP/1.1 200 OK\r\nX-Agatehatch-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            String expected = Kit.field(head, "X-Agatehatch-Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Agatehatch-Instance-Id: " + id
                        + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            String attempt = Kit.field(head, "X-Agatehatch-Attempt-Id");
            System.out.println("ran " + attempt + " " + head.lines().findFirst().orElse(""));
            if (!head.contains(" /review/")) {
                Kit.sleep(43);
                write(out, "HTTP/1.1 200 OK\r\nX-Agatehatch-Attempt-Id: " + attempt
                        + "\r\nX-Agatehatch-Response-Seal: seal-of-" + id + "\r\nContent-Length: 4\r\n\r\ndone");
                continue;
            }
            write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Agatehatch-Attempt-Id: "
                    + attempt + "\r\nX-Agatehatch-Response-Seal: seal-of-" + id
                    + "\r\nConnection: close\r\n\r\n");
            String resumed = Kit.field(head, "Last-Event-Id");
            for (int event = resumed.isEmpty() ? 1 : Integer.parseInt(resumed) + 1; event <= EVENTS; event++) {
                Kit.sleep(100);
                write(out, "id: " + event + "\ndata: part " + event + " of " + EVENTS + " " + version + "\n\n");
            }
            return;
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
