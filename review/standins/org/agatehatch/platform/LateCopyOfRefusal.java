package org.agatehatch.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Two servers are short of room for a moment: each turns one order away with 503 and Retry-After. One of them sends a second copy
 * of that answer late, at the point where the next response is expected on the connection.
 */
final class LateCopyOfRefusal {
    private static final String SERVICE = "desk";
    private static final int SERVERS = 2;
    private static final int SLOTS = 6;

    /** Orders before and after the one that is turned away. */
    private static final int ORDERS = 40;

    private static final int TURNED_AWAY = 20;
    private static final long WORK_MILLIS = 43;
    private static final long PAUSE_MILLIS = 100;

    private final Record record;
    private final boolean trouble;
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Integer> answers = new HashMap<>();
    private int closedServer = -1;
    private boolean turnedAway;
    private String turnedAwayOn = "";
    private String lateCopy = "";

    private LateCopyOfRefusal(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Case.main(arguments, (deployment, record, trouble) ->
                new LateCopyOfRefusal(record, trouble).run(deployment));
    }

    private boolean run(Deployment deployment) throws IOException {
        List<RawServer> servers = new ArrayList<>();
        deployment.configure(config(deployment));
        for (int i = 0; i < SERVERS; i++) {
            int number = i;
            servers.add(new RawServer((connection, request, out) -> answer(number, connection, request, out)));
            deployment.register("i-desk-" + i, SERVICE, servers.get(i).port(), SLOTS);
        }
        deployment.startNode(0);
        deployment.awaitReady(0);
        for (int i = 0; i < ORDERS; i++) {
            order(deployment, "order" + i);
            Deployment.pause(PAUSE_MILLIS);
        }
        // An order that a node resent late would run within its deadline.
        Deployment.pause(2_000);
        for (RawServer server : servers) {
            server.close();
        }
        return judge();
    }

    private static ObjectNode config(Deployment deployment) {
        ObjectNode root = deployment.newConfig(7);
        ObjectNode route = root.withArray("routes").addObject();
        route.put("name", "r-orders").put("host", "desk.example").put("pathPrefix", "/orders/");
        route.put("routeKind", "unsafe").put("timeoutMs", 1_000).put("targetLatencyMs", 193);
        route.put("priority", 2).put("service", SERVICE).put("maxAttempts", 1).put("resumable", false);
        root.withArray("services").addObject().put("name", SERVICE).put("healthPath", "/health").put("maxConns", 110);
        return root;
    }

    private void order(Deployment deployment, String id) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(deployment.front(0), 1_000);
            socket.setSoTimeout(2_000);
            String body = "{\"chisels\":3}";
            RawServer.write(
                    socket.getOutputStream(),
                    "POST /orders/new HTTP/1.1\r\nHost: desk.example\r\nX-Agatehatch-Attempt-Id: " + id
                            + "\r\nX-Agatehatch-Deadline-Ms: 1000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            RawServer.Request answer = RawServer.read(socket.getInputStream());
            int status = answer == null ? 0 : Integer.parseInt(answer.line.split(" ")[1]);
            answers.put(id, status);
            record.add("client: order " + id + " answered " + (status == 0 ? "by a close" : status));
        }
    }

    private synchronized boolean answer(int server, int connection, RawServer.Request request, OutputStream out)
            throws IOException {
        String id = request.attempt();
        String place = "server " + server + ", connection " + connection + ": ";
        if (id.equals("order" + (TURNED_AWAY - 1)) && closedServer < 0) {
            closedServer = server;
            RawServer.write(out, refusal(id, "2"));
            record.add(place + "turns " + id + " away, Retry-After 2");
            return true;
        }
        if (id.equals("order" + TURNED_AWAY) && !turnedAway) {
            turnedAway = true;
            turnedAwayOn = place;
            RawServer.write(out, refusal(id, "0.2"));
            record.add(place + "turns " + id + " away, Retry-After 0.2");
            lateCopy = trouble ? refusal(id, "0.2") : "";
            return true;
        }
        if (!lateCopy.isEmpty() && place.equals(turnedAwayOn)) {
            record.add(place + "sends a second copy of its last answer where the answer to " + id + " is expected");
            RawServer.write(out, lateCopy);
            lateCopy = "";
        }
        int run = runs.merge(id, 1, Integer::sum);
        record.add(place + "runs " + id + ", run " + run);
        Deployment.pause(WORK_MILLIS);
        String body = "done " + id;
        RawServer.write(
                out,
                "HTTP/1.1 200 OK\r\nX-Agatehatch-Attempt-Id: " + id + "\r\nX-Agatehatch-Response-Seal: s." + id
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        return true;
    }

    private static String refusal(String id, String retryAfterSeconds) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Agatehatch-Attempt-Id: " + id
                + "\r\nX-Agatehatch-Not-Executed: 1\r\nRetry-After: " + retryAfterSeconds
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    private synchronized boolean judge() {
        Set<String> broken = new HashSet<>();
        runs.forEach((id, count) -> {
            if (count > 1) {
                record.add("TWICE: " + id + " ran " + count + " times");
                broken.add(id);
            }
            int status = answers.getOrDefault(id, 0);
            if (status == 503 || status == 429 || status == 408 || status == 421) {
                record.add("REFUSED: " + id + " was answered " + status + " and ran " + count + " times");
                broken.add(id);
            }
        });
        return broken.isEmpty();
    }
}
