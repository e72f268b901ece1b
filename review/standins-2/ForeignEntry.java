import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer writes an entry under a runner's id that lacks fields and names another service. */
final class ForeignEntry {
    private static final int CALLERS = 8;
    private static final int ORDERS_A_CALLER = 10;

    private ForeignEntry() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], ForeignEntry::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("keyed.op", "config", "{\"version\":7,\"routes\":["
                + "{\"name\":\"manual-review\",\"host\":\"school.example\",\"pathPrefix\":\"/review/\",\"routeKind\":\"streaming\","
                + "\"timeoutMs\":6000,\"targetLatencyMs\":1500,\"priority\":1,\"service\":\"tutor\",\"maxAttempts\":2,"
                + "\"resumable\":false,\"gapTargetMs\":250},"
                + "{\"name\":\"slot-book\",\"host\":\"school.example\",\"pathPrefix\":\"/book/\",\"routeKind\":\"unsafe\","
                + "\"timeoutMs\":2500,\"targetLatencyMs\":193,\"priority\":1,\"service\":\"reservas\",\"maxAttempts\":1}],"
                + "\"services\":[{\"name\":\"tutor\",\"healthPath\":\"/health\",\"maxConns\":360},"
                + "{\"name\":\"reservas\",\"healthPath\":\"/health\",\"maxConns\":96}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":8000}}");
        int tutorPort = Kit.freePort();
        startRunner("i-tutor", "tutor", tutorPort, store.port());
        startRunner("i-reservas", "reservas", Kit.freePort(), store.port());
        Kit.Node node = new Kit.Node("edge-mvd-a-1", Kit.HOST, store.port(), Kit.freeInnerPort(List.of(Kit.HOST)), List.of());
        Kit.await("the node", 30_000, node::isReady);
        Kit.await("a stream", 20_000, () -> send(node, "/review/1", "warm-up-1").status() == 200);
        Kit.await("an order", 20_000, () -> send(node, "/book/1", "warm-up-2").status() == 200);
        Kit.sleep(2_000);
        if (Kit.TROUBLE) {
            String entry = "{\"service\":\"reservas\",\"addr\":\"" + Kit.HOST + ":" + tutorPort
                    + "\",\"zone\":\"mvd-a\",\"slots\":6,\"state\":\"ready\",\"seq\":1,\"born\":" + System.currentTimeMillis() + "}";
            Kit.note("another writer: servers/i-tutor " + entry);
            store.put("keyed.servers", "i-tutor", entry);
        }
        Kit.sleep(1_000);
        AtomicInteger served = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            callers.add(Kit.daemon(() -> {
                for (int i = 0; i < ORDERS_A_CALLER; i++) {
                    String id = "order-" + number + "-" + i;
                    Kit.Client answer = send(node, "/book/1", id);
                    served.addAndGet(answer.status() == 200 ? 1 : 0);
                    Kit.note(id + ": status " + answer.status() + ", " + answer.field("X-Agatehatch-Response-Seal"));
                }
            }));
        }
        for (Thread caller : callers) {
            caller.join(30_000);
        }
        Kit.output("edge-mvd-a-1", "server_").forEach(Kit::note);
        List<String> wrong = Kit.output("i-tutor", "ran order-");
        List<String> right = Kit.output("i-reservas", "ran order-");
        wrong.forEach(line -> Kit.note("i-tutor, a runner of tutor, " + line));
        Kit.note("orders run by the runner of reservas: " + right.size() + ", by the runner of tutor: " + wrong.size());
        if (!Kit.TROUBLE && served.get() < CALLERS * ORDERS_A_CALLER) {
            throw new IllegalStateException("an order was not served without the disruption");
        }
        return !wrong.isEmpty();
    }

    private static void startRunner(String id, String service, int port, int store) throws IOException {
        Kit.start(id, Map.of(), Kit.java("Runner", id, service, Integer.toString(port), Kit.HOST + ":" + port,
                Kit.HOST + ":" + store, Long.toString(System.currentTimeMillis()), "v1"));
    }

    private static Kit.Client send(Kit.Node node, String path, String id) throws IOException {
        return new Kit.Client(node.host, node.front, "POST " + path + " HTTP/1.1\r\nHost: school.example\r\n"
                + "X-Agatehatch-Attempt-Id: " + id + "\r\nX-Agatehatch-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nbody", 2_500);
    }
}
