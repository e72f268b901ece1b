package org.agatehatch.daemon.usage;

import static org.testng.Assert.assertEquals;

import java.net.http.HttpResponse;
import org.agatehatch.standins.PlatformSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Guards against refusing a request because of crashes that it did not cause. */
public final class CrashAttributionUsageTest {
    private static final int NODES = 6;
    private Deployment deployment;

    @BeforeClass
    public void start() {
        deployment = new Deployment(PlatformSettings.standard(3, 20).withService("order-desk", 2));
        for (int i = 0; i < NODES; i++) {
            deployment.startNode("node-" + i, i % 2 == 0 ? "domain-a" : "domain-b");
        }
        String yaml = Catalogues.standard(deployment.platform().addresses());
        Deployment.await(
                "the first catalogue is accepted",
                () -> deployment.apply(0, yaml, 0).statusCode() == 200);
        deployment.awaitServing("counter-8b");
    }

    @AfterClass
    public void stop() {
        deployment.close();
    }

    @Test
    public void a_cut_stream_does_not_count_as_a_crash_at_any_node() {
        // After a restart, nodes that do not observe a runner learn its new epoch only from the digest.
        deployment
                .platform()
                .engines()
                .forEach(engine -> engine.crash().toCompletableFuture().join());
        deployment.awaitServing("counter-8b");
        for (int i = 0; i < NODES; i++) {
            useUpConnectionsToCrashedProcess(i);
            deployment
                    .platform()
                    .engines()
                    .forEach(engine -> engine.faults()
                            .merge("{\"cut_streams\":{\"next\":1,\"fraction\":0},\"cut_after_tokens\":5}"));
            HttpResponse<String> response = deployment.complete(i, "counter-8b", "the same", 50, true);
            assertEquals(response.statusCode(), 200, "node " + i + ": " + response.body());
            assertEquals(
                    Answers.tokens(response.body()),
                    Answers.expected("counter-8b", "the same", 50),
                    "node " + i + ": " + response.body());
        }
        deployment
                .platform()
                .engines()
                .forEach(engine -> engine.faults().merge("{\"cut_streams\":{\"next\":0,\"fraction\":0}}"));
    }

    /** Uses up connections to the crashed process, because a request on one counts as in flight at that process. */
    private void useUpConnectionsToCrashedProcess(int node) {
        for (int i = 0; i < 12; i++) {
            deployment.complete(node, "counter-8b", "node " + node + " request " + i, 1, false);
        }
    }
}
