import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;

/**
 * A model runner in a process of its own. It carries out orders at once, and answers generations with five events, 20 ms apart.
 *
 * <p>Arguments: id, service, port, address of the store, models that it holds, separated by commas.
 */
final class EngineRunner {
    private static final Set<String> MODELS = new TreeSet<>();
    private static final long BORN = System.currentTimeMillis();
    private static long seq;
    private static long fence;

    private EngineRunner() {}

    public static void main(String[] arguments) throws IOException {
        String id = arguments[0];
        MODELS.addAll(Set.of(arguments[4].split(",")));
        ServerSocket listening = new ServerSocket();
        listening.bind(new InetSocketAddress("127.0.0.1", Integer.parseInt(arguments[2])), 256);
        Thread beats = new Thread(() -> {
            for (long beat = 1; true; beat++) {
                try {
                    HttpURLConnection call =
                            (HttpURLConnection) new URL("http://" + arguments[3] + "/servers/" + id).openConnection();
                    call.setRequestMethod("PUT");
                    call.setDoOutput(true);
                    call.getOutputStream().write(("{\"service\":\"" + arguments[1] + "\",\"addr\":\"127.0.0.1:" + arguments[2]
                                    + "\",\"zone\":\"mvd-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,"
                                    + "\"stage\":\"colocated\",\"models\":" + models() + ",\"born\":" + BORN + ",\"seq\":" + beat + "}")
                            .getBytes(StandardCharsets.UTF_8));
                    call.getInputStream().readAllBytes();
                } catch (IOException e) {
                    System.out.println("no answer of the store: " + e);
                }
                Kit.sleep(Kit.HEARTBEAT_MILLIS);
            }
        });
        beats.start();
        while (true) {
            Socket socket = listening.accept();
            Kit.daemon(() -> {
                try (socket) {
                    serve(socket, id);
                }
            });
        }
    }

    private static synchronized String models() {
        StringBuilder list = new StringBuilder();
        MODELS.forEach(model -> list.append(list.length() > 0 ? "," : "").append("{\"name\":\"").append(model)
                .append("\",\"version\":1,\"adapters\":[]}"));
        return "[" + list + "]";
    }

    private static synchronized int order(String body) {
        long token = Long.parseLong(field(body, "fence"));
        if (token < fence) {
            return 412;
        }
        fence = token;
        if (!field(body, "precondition").isEmpty() && Long.parseLong(field(body, "precondition")) != seq) {
            return 409;
        }
        String model = field(body, "model");
        boolean changed = field(body, "op").equals("load") ? MODELS.add(model) : MODELS.remove(model);
        seq += changed ? 1 : 0;
        return changed ? 202 : 200;
    }

    private static String field(String body, String name) {
        java.util.regex.Matcher found =
                java.util.regex.Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(body);
        return found.find() ? found.group(1) : "";
    }

    private static void serve(Socket socket, String id) throws IOException {
        socket.setTcpNoDelay(true);
        OutputStream out = socket.getOutputStream();
        while (true) {
            String head = Kit.readHead(socket.getInputStream());
            if (head.isEmpty()) {
                return;
            }
            String length = Kit.field(head, "Content-Length");
            String body = new String(
                    socket.getInputStream().readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length)), StandardCharsets.UTF_8);
            String attempt = Kit.field(head, "X-Agatehatch-Attempt-Id");
            String expected = Kit.field(head, "X-Agatehatch-Expect-Instance");
            String model = Kit.field(head, "X-Agatehatch-Model");
            boolean known;
            synchronized (EngineRunner.class) {
                known = model.isEmpty() || MODELS.contains(model);
            }
            if (head.startsWith("GET /v1/report ")) {
                String report = "{\"stage\":\"colocated\",\"models\":" + models() + ",\"busy\":false,\"seq\":" + seq
                        + ",\"queueDepth\":0,\"inFlight\":0,\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"born\":" + BORN + "}";
                write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length() + "\r\n\r\n"
                        + report);
            } else if (!expected.equals(id) && !expected.isEmpty() || !known) {
                write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Agatehatch-Attempt-Id: " + attempt
                        + "\r\nX-Agatehatch-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            } else if (head.startsWith("POST /v1/order ")) {
                write(out, "HTTP/1.1 " + order(body) + " Done\r\nContent-Length: 0\r\n\r\n");
            } else {
                System.out.println("ran " + attempt);
                write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Agatehatch-Attempt-Id: " + attempt
                        + "\r\nX-Agatehatch-Response-Seal: seal-of-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int event = 1; event <= 5; event++) {
                    Kit.sleep(20);
                    String text = "id: " + event + "\ndata: part " + event + "\n\n";
                    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                }
                write(out, "0\r\n\r\n");
            }
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
