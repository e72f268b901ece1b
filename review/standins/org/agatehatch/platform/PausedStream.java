package org.agatehatch.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A resumable stream pauses in its middle at a sound runner, which has preempted it and reads its prompt anew. Both runners say how
 * long they worked on it.
 */
final class PausedStream {
    private static final String SERVICE = "tutor";
    private static final String MODEL = "m0";
    private static final int RUNNERS = 2;
    private static final int SLOTS = 64;

    private static final int STREAMS = 12;
    private static final int PAUSED = 6;
    private static final int EVENTS = 13;
    private static final int EVENTS_BEFORE_PAUSE = 4;
    private static final int EVENT_MILLIS = 22;

    /** A prompt of 30,000 tokens at 38.7 tokens in a millisecond. */
    private static final int PROMPT_TOKENS = 30_000;

    private static final int PREFILL_MILLIS = 775;

    /** The runner waits for memory, and then reads the prompt anew. */
    private static final int PAUSE_MILLIS = 1_100 + PREFILL_MILLIS;

    private static final int STILL_AT_WORK_MILLIS = 400;
    private static final int TICK_MILLIS = 5;

    /** Time at one runner, from the beginning of the work to its end. */
    private static final class Work {
        private final int runner;
        private final String attempt;
        private final String after;
        private final long begunNanos = System.nanoTime();
        private long endedNanos = Long.MAX_VALUE;

        private Work(int runner, String attempt, String after) {
            this.runner = runner;
            this.attempt = attempt;
            this.after = after;
        }
    }

    private final Record record;
    private final boolean trouble;
    private final List<Work> works = new ArrayList<>();

    private PausedStream(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Case.main(arguments, (deployment, record, trouble) -> new PausedStream(record, trouble).run(deployment));
    }

    private boolean run(Deployment deployment) throws IOException {
        deployment.configure(config(deployment));
        for (int i = 0; i < RUNNERS; i++) {
            int number = i;
            RawServer runner =
                    new RawServer((connection, request, socket) -> answer(number, request, socket), "runner-" + i);
            deployment.register("i-tutor-" + i, SERVICE, runner.port(), SLOTS);
            ObjectNode entry = deployment.entry("i-tutor-" + i).put("stage", "colocated");
            entry.putArray("models").addObject().put("name", MODEL).put("version", 1).putArray("adapters");
            deployment.write("i-tutor-" + i);
        }
        deployment.startNode(0);
        deployment.awaitReady(0);
        // The new node has to know the reports of the runners.
        Deployment.pause(2_500);
        for (int i = 0; i < STREAMS; i++) {
            stream(deployment, "stream" + i);
        }
        Deployment.pause(2_000);
        return judge();
    }

    private static ObjectNode config(Deployment deployment) {
        ObjectNode root = deployment.newConfig(7);
        ObjectNode route = root.withArray("routes").addObject();
        route.put("name", "r-review").put("host", "tutor.example").put("pathPrefix", "/review/");
        route.put("routeKind", "streaming").put("timeoutMs", 6_000).put("targetLatencyMs", 1_500);
        route.put("priority", 1).put("service", SERVICE).put("maxAttempts", 2).put("sticky", true);
        route.put("resumable", true).put("gapTargetMs", 250);
        ObjectNode service = root.withArray("services").addObject();
        service.put("name", SERVICE).put("healthPath", "/health").put("maxConns", 360);
        ObjectNode engine = service.putObject("engine");
        engine.put("slots", SLOTS).put("kvCapacity", 232_000).put("weightsMb", 200_000.0).put("adapterSlots", 5);
        engine.put("loadsPerS", 1.1);
        ObjectNode model = engine.putArray("models").addObject();
        model.put("name", MODEL).put("weightsMb", 72_700.0).put("loadS", 1.2).put("adapters", 0);
        model.put("adapterMb", 66.0).put("warmS", 0.4).put("diskS", 0.52);
        return root;
    }

    private void stream(Deployment deployment, String id) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(deployment.front(0), 1_000);
            socket.setSoTimeout(7_000);
            String body = "review " + id;
            RawServer.write(
                    socket.getOutputStream(),
                    "POST /review/1 HTTP/1.1\r\nHost: tutor.example\r\nX-Agatehatch-Attempt-Id: " + id
                            + "\r\nX-Agatehatch-Model: " + MODEL + "\r\nX-Agatehatch-Token-Count: " + PROMPT_TOKENS
                            + ",52\r\nX-Agatehatch-Prompt-Prefix: " + Integer.toHexString(id.hashCode()) + ":"
                            + PROMPT_TOKENS
                            + "\r\nX-Agatehatch-Deadline-Ms: 6000\r\nConnection: close\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body);
            ClientAnswer answer = ClientAnswer.of(socket.getInputStream().readAllBytes());
            long events = answer.body.lines().filter(line -> line.startsWith("id: ")).count();
            record.add("client: " + id + ": " + answer.statusLine + ", " + events
                    + " events, " + (answer.complete ? "complete" : "cut"));
        }
    }

    private boolean answer(int runner, RawServer.Request request, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        if (request.line.contains(" /v1/report")) {
            String report = "{\"stage\":\"colocated\",\"models\":[{\"name\":\"" + MODEL
                    + "\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0,\"queueDepth\":0,\"inFlight\":0,"
                    + "\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0}";
            RawServer.write(
                    out,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length()
                            + "\r\n\r\n" + report);
            return true;
        }
        if (request.line.contains(" /v1/order")) {
            record.add("runner " + runner + ": order " + new String(request.body, StandardCharsets.UTF_8));
            RawServer.write(out, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        Work work = new Work(runner, request.attempt(), request.header("Last-Event-Id"));
        synchronized (works) {
            works.add(work);
        }
        record.add("runner " + runner + ": begins " + work.attempt
                + (work.after.isEmpty() ? "" : " after event " + work.after));
        boolean open = write(work, socket, out);
        work.endedNanos = System.nanoTime();
        record.add("runner " + runner + ": ends " + work.attempt + (open ? ", complete" : ", its connection was closed"));
        return open;
    }

    /** Makes the events of a stream and returns whether it was written to its end. */
    private boolean write(Work work, Socket socket, OutputStream out) throws IOException {
        if (isClosedDuring(socket, PREFILL_MILLIS)) {
            return false;
        }
        String id = work.attempt;
        RawServer.write(
                out,
                "HTTP/1.1 200 OK\r\nX-Agatehatch-Attempt-Id: " + id + "\r\nX-Agatehatch-Response-Seal: s." + id
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        int first = work.after.isEmpty() ? 1 : Integer.parseInt(work.after) + 1;
        boolean pauses = trouble && id.equals("stream" + PAUSED) && work.after.isEmpty();
        for (int event = first; event <= EVENTS; event++) {
            if (pauses && event == EVENTS_BEFORE_PAUSE + 1) {
                record.add("runner " + work.runner + ": preempts " + id + " and reads it anew");
                if (isClosedDuring(socket, PAUSE_MILLIS)) {
                    return false;
                }
                record.add("runner " + work.runner + ": goes on with " + id);
            }
            String text = "id: " + event + "\ndata: tokens of " + id + "\n\n";
            RawServer.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            if (isClosedDuring(socket, EVENT_MILLIS)) {
                return false;
            }
        }
        RawServer.write(out, "0\r\n\r\n");
        return true;
    }

    private static boolean isClosedDuring(Socket socket, int millis) throws IOException {
        long untilNanos = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() < untilNanos) {
            if (RawServer.closesWithin(socket, TICK_MILLIS)) {
                return true;
            }
        }
        return false;
    }

    private boolean judge() {
        boolean held = true;
        synchronized (works) {
            for (Work second : works) {
                for (Work first : works) {
                    boolean sameRequest = first != second
                            && first.attempt.equals(second.attempt)
                            && first.runner != second.runner
                            && first.begunNanos < second.begunNanos;
                    double overlapMillis = (first.endedNanos - second.begunNanos) / 1e6;
                    if (sameRequest) {
                        record.add(String.format(
                                Locale.ROOT,
                                "%s: runner %d worked on for %.0f ms after the request had gone on at runner %d",
                                first.attempt,
                                first.runner,
                                overlapMillis,
                                second.runner));
                        held &= overlapMillis < STILL_AT_WORK_MILLIS;
                    }
                }
            }
        }
        return held;
    }
}
