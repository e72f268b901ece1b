package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import org.testng.Reporter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Several nodes and runners, one of which names a limit in its answers, under traffic from callers at all nodes. */
public final class ServerLimitTest {
    private static final long SEED = 29;
    private static final int NODES = 8;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final double ALLOWED_FACTOR = 1.5;
    private static final int ALLOWED_SLACK = 5;
    private static final double LIMIT_PER_SECOND = 1;
    private static final double REQUESTS_PER_SECOND = 30;

    private Cluster cluster;
    private volatile Optional<Double> limit = Optional.empty();

    @BeforeMethod
    public void start() {
        limit = Optional.empty();
        cluster = new Cluster();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        cluster.close();
    }

    private void startCluster(int runners) throws IOException, InterruptedException {
        cluster.startRunners(runners, RunnerStandIn.Timing.DEFAULT, head -> false, () -> limit);
        for (int node = 0; node < NODES; node++) {
            cluster.startNode(node);
        }
        cluster.awaitReady();
    }

    private ClusterTraffic traffic(String route) {
        return new ClusterTraffic(
                cluster, route, random -> List.of("f" + random.nextInt(3), "s" + random.nextInt(30)), SEED);
    }

    /** Returns the highest number of requests that the limited runner got in a window within a span of time. */
    private long mostInWindow(long fromMillis, long toMillis) {
        RunnerStandIn limited = cluster.runners.get(0);
        return limited.arrivals.stream()
                .mapToLong(RunnerStandIn.Arrival::atMillis)
                .filter(atMillis -> atMillis >= fromMillis && atMillis + WINDOW_MILLIS <= toMillis)
                .map(atMillis -> limited.arrivalsBetween(atMillis, atMillis + WINDOW_MILLIS))
                .max()
                .orElse(0);
    }

    private void assertWithinLimit(double perSecond, long fromMillis, long toMillis) {
        long most = mostInWindow(fromMillis, toMillis);
        String figures = "most_in_4_s=" + most + " allowed=" + allowedInWindow(perSecond);
        Reporter.log(figures, true);
        assertTrue(most <= allowedInWindow(perSecond), figures);
    }

    private static long allowedInWindow(double perSecond) {
        return (long) (ALLOWED_FACTOR * perSecond * WINDOW_MILLIS / 1_000) + ALLOWED_SLACK;
    }

    private static long refused(Queue<ClusterTraffic.Result> results) {
        return results.stream().filter(result -> result.status() == 503).count();
    }

    // Guards against nodes that ignore a server's limit, or each keep to the whole of it, while others could serve.
    @Test
    public void a_servers_limit_holds_for_all_nodes_together_and_others_serve_the_rest() throws Exception {
        startCluster(4);
        ClusterTraffic traffic = traffic("resume");
        limit = Optional.of(LIMIT_PER_SECOND);
        long namedMillis = RunnerStandIn.nowMillis();
        traffic.run(REQUESTS_PER_SECOND, 12_000);
        long endMillis = RunnerStandIn.nowMillis();
        traffic.awaitEnd();

        assertWithinLimit(LIMIT_PER_SECOND, namedMillis + CONTACT_MILLIS, endMillis);
        assertEquals(refused(traffic.results), 0);
    }

    // Guards against a limit that is exceeded, or no longer used, while nodes are killed and started.
    @Test
    public void a_servers_limit_holds_while_nodes_come_and_go() throws Exception {
        startCluster(4);
        ClusterTraffic traffic = traffic("resume");
        limit = Optional.of(LIMIT_PER_SECOND);
        long namedMillis = RunnerStandIn.nowMillis();
        Thread callers = new Thread(() -> traffic.run(REQUESTS_PER_SECOND, 16_000));
        callers.start();
        for (int node = 0; node < 3; node++) {
            RunnerStandIn.pause(2_000);
            cluster.killNode(node);
            RunnerStandIn.pause(1_500);
            cluster.startNode(node);
        }
        callers.join();
        long endMillis = RunnerStandIn.nowMillis();
        traffic.awaitEnd();

        assertWithinLimit(LIMIT_PER_SECOND, namedMillis + CONTACT_MILLIS, endMillis);
    }

    // Guards against a server that keeps idle after it has stopped to name a limit.
    @Test
    public void traffic_returns_when_a_server_no_longer_names_a_limit() throws Exception {
        startCluster(2);
        ClusterTraffic traffic = traffic("resume");
        limit = Optional.of(LIMIT_PER_SECOND);
        traffic.run(REQUESTS_PER_SECOND, 4_000);
        limit = Optional.empty();
        traffic.run(REQUESTS_PER_SECOND, 2 * CONTACT_MILLIS);
        long endMillis = RunnerStandIn.nowMillis();
        traffic.awaitEnd();

        long returned = cluster.runners.get(0).arrivalsBetween(endMillis - CONTACT_MILLIS, endMillis);
        Reporter.log("arrivals_in_last_3_s=" + returned, true);
        assertTrue(returned > allowedInWindow(LIMIT_PER_SECOND), "arrivals in the last 3 s: " + returned);
    }

    // Guards against a limit that keeps callers from the only server although the server takes requests.
    @Test
    public void the_only_server_is_used_up_to_its_limit_and_the_rest_is_refused_in_time() throws Exception {
        startCluster(1);
        ClusterTraffic traffic = traffic("ask");
        double perSecond = 5;
        limit = Optional.of(perSecond);
        long namedMillis = RunnerStandIn.nowMillis();
        traffic.run(2 * perSecond, 12_000);
        long endMillis = RunnerStandIn.nowMillis();
        traffic.awaitEnd();

        long fromMillis = namedMillis + CONTACT_MILLIS;
        assertWithinLimit(perSecond, fromMillis, endMillis);
        double served =
                cluster.runners.get(0).arrivalsBetween(fromMillis, endMillis) * 1_000.0 / (endMillis - fromMillis);
        String figures = "per_second=" + served + " refused=" + refused(traffic.results);
        Reporter.log(figures, true);
        assertTrue(served >= 0.7 * perSecond, figures);
    }
}
