import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer writes entries that lack fields, under ids of its own, and count very many slots. */
final class ForeignFleet {
    private static final int ENTRIES = 24;
    private static final int CALLERS = 4;
    private static final int ORDERS_A_CALLER = 4;

    private ForeignFleet() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], ForeignFleet::run);
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
        startRunner("i-tutor", "tutor", store.port());
        startRunner("i-reservas", "reservas", store.port());
        Kit.Node node = new Kit.Node("edge-mvd-a-1", Kit.HOST, store.port(), Kit.freeInnerPort(List.of(Kit.HOST)), List.of());
        Kit.await("the node", 30_000, node::isReady);
        Kit.await("a stream", 20_000, () -> send(node, "/review/1", "warm-up-1", 6_000).status() == 200);
        Kit.await("an order", 20_000, () -> send(node, "/book/1", "warm-up-2", 2_500).status() == 200);
        Kit.sleep(1_000);
        if (Kit.TROUBLE) {
            Kit.note("another writer: " + ENTRIES + " entries");
            for (int i = 0; i < ENTRIES; i++) {
                store.put("keyed.servers", "other-" + i, "{\"service\":\"" + (i % 2 == 0 ? "reservas" : "tutor") + "\",\"addr\":\"" + Kit.HOST + ":" + Kit.freePort()
                        + "\",\"slots\":1000000,\"state\":\"ready\",\"seq\":1}");
            }
        }
        Kit.sleep(2_000);
        int orders = count(node, "/book/1", "order", 2_500);
        int streams = count(node, "/review/1", "stream", 6_000);
        boolean ready = node.isReady();
        if (Kit.TROUBLE) {
            for (int i = 0; i < ENTRIES; i++) {
                store.put("keyed.servers", "other-" + i, new byte[0]);
            }
            Kit.note("the entries of the other writer are removed");
            Kit.sleep(3_000);
            Kit.note("answered 200 after that: " + count(node, "/book/1", "later", 2_500) + " orders");
        }
        Kit.output("edge-mvd-a-1", "id=order-0-0 ").forEach(Kit::note);
        Kit.note("answered 200: " + orders + " orders and " + streams + " streams of " + CALLERS * ORDERS_A_CALLER
                + " each; the process runs: " + node.process.isAlive() + ", ready: " + ready);
        if (!Kit.TROUBLE && orders + streams < 2 * CALLERS * ORDERS_A_CALLER) {
            throw new IllegalStateException("a request was not served without the disruption");
        }
        return orders + streams == 0;
    }

    private static int count(Kit.Node node, String path, String name, int deadlineMillis) throws Exception {
        AtomicInteger served = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            callers.add(Kit.daemon(() -> {
                for (int i = 0; i < ORDERS_A_CALLER; i++) {
                    String id = name + "-" + number + "-" + i;
                    int status;
                    try {
                        status = send(node, path, id, deadlineMillis).status();
                    } catch (IOException e) {
                        status = -1;
                    }
                    served.addAndGet(status == 200 ? 1 : 0);
                    Kit.note(id + ": status " + status);
                }
            }));
        }
        for (Thread caller : callers) {
            caller.join(30_000);
        }
        return served.get();
    }

    private static void startRunner(String id, String service, int store) throws IOException {
        int port = Kit.freePort();
        Kit.start(id, Map.of(), Kit.java("Runner", id, service, Integer.toString(port), Kit.HOST + ":" + port,
                Kit.HOST + ":" + store, Long.toString(System.currentTimeMillis()), "v1"));
    }

    private static Kit.Client send(Kit.Node node, String path, String id, int deadlineMillis) throws IOException {
        return new Kit.Client(node.host, node.front, "POST " + path + " HTTP/1.1\r\nHost: school.example\r\n"
                + "X-Agatehatch-Attempt-Id: " + id + "\r\nX-Agatehatch-Deadline-Ms: " + deadlineMillis
                + "\r\nContent-Length: 4\r\n\r\nbody", deadlineMillis);
    }
}
