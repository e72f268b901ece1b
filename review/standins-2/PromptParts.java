import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients name their prompts in parts of 16 tokens; without the trouble, in three parts. */
final class PromptParts {
    private static final int RUNNERS = 6;
    private static final int CALLERS = 4;
    private static final int SHARED_TOKENS = 6_300;
    private static final int OWN_TOKENS = 2_890;
    private static final int BLOCK_TOKENS = 16;
    private static final int ENOUGH_FAILED = 40;

    private PromptParts() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], PromptParts::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"manual-tutor\",\"host\":\"school.example\","
                + "\"pathPrefix\":\"/tutor/\",\"routeKind\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":800,"
                + "\"priority\":1,\"service\":\"tutor-llm\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":250}],"
                + "\"services\":[{\"name\":\"tutor-llm\",\"healthPath\":\"/health\",\"maxConns\":360,\"engine\":{\"slots\":64,"
                + "\"kvCapacity\":232000,\"models\":[{\"name\":\"daka\",\"weightsMb\":72700.0,\"loadS\":1.2,\"adapters\":0,"
                + "\"adapterMb\":66.0}],\"weightsMb\":200000.0,\"adapterSlots\":5,\"loadsPerS\":1.1}}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":8000}}");
        for (int i = 1; i <= RUNNERS; i++) {
            Kit.start("i-" + i, Map.of(), Kit.java("EngineRunner", "i-" + i, "tutor-llm", Integer.toString(Kit.freePort()),
                    Kit.HOST + ":" + store.port(), "daka"));
        }
        Kit.Node node = new Kit.Node("edge-mvd-a-1", Kit.HOST, store.port(), Kit.freeInnerPort(List.of(Kit.HOST)), List.of());
        Kit.await("the node", 30_000, node::isReady);
        Kit.sleep(2_000);
        int blockTokens = Kit.TROUBLE ? BLOCK_TOKENS : SHARED_TOKENS / 2;
        Kit.note("parts of " + blockTokens + " tokens; head of a request: " + request("x", prompt(0, blockTokens)).length()
                + " bytes of 16384");
        int early = count(node, "first", 5, blockTokens);
        int more = count(node, "more", 60, blockTokens);
        int late = count(node, "last", 4, blockTokens);
        boolean ready = node.isReady();
        Kit.output("edge-mvd-a-1", "id=last-0-0 ").forEach(Kit::note);
        Kit.note("served of the first 20: " + early + ", of the next 240 at most: " + more + ", of the last 16: " + late
                + "; the process runs: " + node.process.isAlive() + ", ready: " + ready);
        if (!Kit.TROUBLE && late < 16) {
            throw new IllegalStateException("a request was not served without the trouble");
        }
        return late * 4 < 16;
    }

    /** Returns the parts of a prompt: those of the course manual, which all share, and those of one student. */
    private static String prompt(int student, int blockTokens) {
        StringBuilder parts = new StringBuilder();
        for (int tokens = 0; tokens < SHARED_TOKENS; tokens += blockTokens) {
            parts.append(String.format("%08x:%d,", 0x5c000000 + tokens, Math.min(blockTokens, SHARED_TOKENS - tokens)));
        }
        for (int tokens = 0; tokens < OWN_TOKENS; tokens += blockTokens) {
            parts.append(String.format("%08x:%d,", (student + 1) * 4_096 + tokens, Math.min(blockTokens, OWN_TOKENS - tokens)));
        }
        return parts.substring(0, parts.length() - 1);
    }

    private static String request(String id, String prompt) {
        return "POST /tutor/1 HTTP/1.1\r\nHost: school.example\r\nX-Agatehatch-Attempt-Id: " + id
                + "\r\nX-Agatehatch-Model: daka\r\nX-Agatehatch-Token-Count: " + (SHARED_TOKENS + OWN_TOKENS)
                + ",52\r\nX-Agatehatch-Prompt-Prefix: " + prompt
                + "\r\nX-Agatehatch-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody";
    }

    private static int count(Kit.Node node, String name, int requests, int blockTokens) throws Exception {
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            callers.add(Kit.daemon(() -> {
                for (int i = 0; i < requests && failed.get() < ENOUGH_FAILED; i++) {
                    String id = name + "-" + number + "-" + i;
                    int status;
                    try {
                        Kit.Client answer = new Kit.Client(
                                node.host, node.front, request(id, prompt(id.hashCode() & 0xffff, blockTokens)), 5_000);
                        status = answer.complete ? answer.status() : -answer.status();
                    } catch (IOException e) {
                        status = -1;
                    }
                    served.addAndGet(status == 200 ? 1 : 0);
                    failed.addAndGet(status == 200 ? 0 : 1);
                    Kit.note(id + ": status " + status);
                }
            }));
        }
        for (Thread caller : callers) {
            caller.join(60_000);
        }
        return served.get();
    }
}
