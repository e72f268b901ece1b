import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A runner that is cut off from a node and the store crashes behind the cut and starts again, under a new id, while streams run that
 * end with their connections.
 */
final class CutOffRunner {
    private static final int RUNNERS = 5;
    private static final int REQUESTS = 15;

    /** From the kill to the start of the next process. */
    private static final long DOWN_MILLIS = 2_000;

    private CutOffRunner() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], CutOffRunner::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        Kit.Link toStore = new Kit.Link(store.port());
        int port = Kit.freePort();
        Kit.Link toRunner = new Kit.Link(port);
        store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"manual-review\",\"host\":\"school.example\","
                + "\"pathPrefix\":\"/review/\",\"routeKind\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":1500,"
                + "\"priority\":1,\"service\":\"tutor\",\"maxAttempts\":2,\"resumable\":false,\"gapTargetMs\":250}],"
                + "\"services\":[{\"name\":\"tutor\",\"healthPath\":\"/health\",\"maxConns\":360}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":8000}}");
        Process first = startRunner("i-1", port, toRunner.port, toStore.port);
        for (int other = 2; other <= RUNNERS; other++) {
            int free = Kit.freePort();
            startRunner("i-" + other, free, free, store.port());
        }
        List<String> hosts = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4");
        int innerPort = Kit.freeInnerPort(hosts);
        List<String> seeds = hosts.subList(0, 3).stream().map(host -> host + ":" + innerPort).toList();
        List<Kit.Node> nodes = new ArrayList<>();
        for (String host : hosts) {
            nodes.add(new Kit.Node("edge-mvd-a-" + (nodes.size() + 1), host, store.port(), innerPort, seeds));
        }
        Kit.Node node = nodes.get(0);
        for (Kit.Node started : nodes) {
            Kit.await("a node", 40_000, started::isReady);
        }
        Kit.await("a whole answer", 20_000, () -> send(node, "warm-up").status() == 200);
        Kit.sleep(1_500);

        Kit.Client[] answers = new Kit.Client[REQUESTS];
        List<Thread> clients = new ArrayList<>();
        store.awaitRenewal("i-1");
        Kit.sleep(Kit.HEARTBEAT_MILLIS - 450);
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            clients.add(Kit.daemon(() -> answers[number] = send(node, "judged-" + number)));
        }
        store.awaitRenewal("i-1");
        if (Kit.TROUBLE) {
            toRunner.cut();
            toStore.cut();
            Kit.note("the runner i-1 is cut off from the node and from the store");
            Kit.sleep(100);
            Kit.signal(first, "KILL");
            Kit.note("the process of i-1 is killed");
            Kit.sleep(DOWN_MILLIS);
            startRunner("i-1-again", port, toRunner.port, toStore.port);
            Kit.await("the new process", 5_000, () -> !Kit.output("runner", "no answer of the store").isEmpty());
            Kit.note("the new process listens at the same address, under a new id");
            toStore.heal();
            toRunner.heal();
            Kit.note("the cut has healed");
        }
        boolean broken = false;
        boolean allServed = true;
        for (int i = 0; i < REQUESTS; i++) {
            clients.get(i).join(15_000);
            Kit.Client answer = answers[i];
            boolean success = answer.status() == 200 && answer.complete;
            long events = new String(answer.body).lines().filter(line -> line.startsWith("data: part ")).count();
            Kit.note("judged-" + i + ": " + answer.field("X-Agatehatch-Response-Seal") + ", status " + answer.status()
                    + ", ends as complete: " + answer.complete + ", events: " + events + " of " + Runner.EVENTS);
            broken |= success && events < Runner.EVENTS;
            allServed &= success && events == Runner.EVENTS;
        }
        Kit.output("edge-mvd-a-1", "server=i-1 ").forEach(Kit::note);
        if (!Kit.TROUBLE && !allServed) {
            throw new IllegalStateException("a request was not served without the disruption");
        }
        return broken;
    }

    private static Process startRunner(String id, int port, int seenPort, int store) throws Exception {
        long born = System.currentTimeMillis();
        Kit.note("the runner " + id + " starts, born " + born);
        return Kit.start("runner", Map.of(), Kit.java("Runner", id, "tutor", Integer.toString(port),
                Kit.HOST + ":" + seenPort, Kit.HOST + ":" + store, Long.toString(born), "v1"));
    }

    private static Kit.Client send(Kit.Node node, String id) throws java.io.IOException {
        Kit.note("client: sends " + id);
        Kit.Client answer = new Kit.Client(node.host, node.front, "POST /review/1 HTTP/1.1\r\nHost: school.example\r\n"
                + "X-Agatehatch-Attempt-Id: " + id + "\r\nX-Agatehatch-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody", 6_000);
        Kit.note("client: " + id + " gets status " + answer.status() + ", " + answer.body.length + " bytes, ends as complete: "
                + answer.complete);
        return answer;
    }
}
