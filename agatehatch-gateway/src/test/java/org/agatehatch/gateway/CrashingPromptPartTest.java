package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.Reporter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Several nodes, runners that crash when they begin an answer to a prompt with one part, and sound requests beside it that
 * share the route, the first part and the servers. No two requests are alike.
 */
public final class CrashingPromptPartTest {
    private static final long SEED = 23;
    private static final int NODES = 4;
    private static final int RUNNERS = 6;
    private static final long CONTACT_MILLIS = 3_000;
    private static final int CRASHES_UNTIL_CONTAINED = 5;
    private static final int MAX_SENDS_AFTERWARDS = 3;
    private static final double SOUND_PER_SECOND = 40;
    private static final double CRASHING_PER_SECOND = 4;
    private static final long CALM_MILLIS = 4_000;
    private static final long CRASHING_MILLIS = 16_000;
    private static final String CRASHING_PART = "bad";
    private static final String FIRST_PART = "f0";

    private Cluster cluster;

    @BeforeMethod
    public void start() throws IOException {
        cluster = new Cluster();
        cluster.startRunners(
                RUNNERS, RunnerStandIn.Timing.DEFAULT, head -> head.contains(CRASHING_PART + ":"), Optional::empty);
        for (int node = 0; node < NODES; node++) {
            cluster.startNode(node);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        cluster.close();
    }

    // Guards against a prompt part that crashes one server after another, since no request with it is sent twice.
    @Test
    public void requests_with_a_part_that_crashes_servers_are_kept_from_them_and_sound_ones_are_served()
            throws InterruptedException {
        ClusterTraffic sound = new ClusterTraffic(
                cluster, "ask", random -> List.of("f" + random.nextInt(3), "s" + random.nextInt(30)), SEED);
        ClusterTraffic crashing =
                new ClusterTraffic(cluster, "ask", random -> List.of(FIRST_PART, CRASHING_PART), SEED + 1);
        cluster.awaitReady();
        long calmSince = RunnerStandIn.nowMillis();
        sound.run(SOUND_PER_SECOND, CALM_MILLIS);
        long crashingSince = RunnerStandIn.nowMillis();
        Thread soundCallers = new Thread(() -> sound.run(SOUND_PER_SECOND, CRASHING_MILLIS));
        soundCallers.start();
        crashing.run(CRASHING_PER_SECOND, CRASHING_MILLIS);
        soundCallers.join();
        sound.awaitEnd();
        crashing.awaitEnd();

        List<Long> crashes = cluster.runners.stream()
                .flatMap(runner -> runner.crashMillis.stream())
                .sorted()
                .toList();
        long lastCounted = crashes.get(Math.min(crashes.size(), CRASHES_UNTIL_CONTAINED) - 1);
        Set<String> crashingIds =
                crashing.results.stream().map(ClusterTraffic.Result::id).collect(Collectors.toSet());
        long sentAfterwards = cluster.runners.stream()
                .flatMap(runner -> runner.arrivals.stream())
                .filter(arrival ->
                        crashingIds.contains(arrival.requestId()) && arrival.atMillis() > lastCounted + CONTACT_MILLIS)
                .count();
        double before = begunShare(sound, calmSince, crashingSince);
        double after = begunShare(sound, lastCounted + 2 * CONTACT_MILLIS, Long.MAX_VALUE);
        String figures = "crashes=" + crashes.size() + " sent_afterwards=" + sentAfterwards + " begun_before=" + before
                + " begun_after=" + after + " sound_503_while_crashing="
                + sound.results.stream()
                        .filter(result -> result.sentMillis() >= crashingSince && result.status() == 503)
                        .count();
        Reporter.log(figures, true);
        assertTrue(sentAfterwards <= MAX_SENDS_AFTERWARDS, figures);
        assertTrue(after >= before / 2, figures);
        assertEquals(refused(sound, lastCounted + 2 * CONTACT_MILLIS), 0, figures);
    }

    private static double begunShare(ClusterTraffic traffic, long fromMillis, long toMillis) {
        List<ClusterTraffic.Result> inTime = traffic.results.stream()
                .filter(result -> result.parts().contains(FIRST_PART))
                .filter(result -> result.sentMillis() >= fromMillis && result.sentMillis() < toMillis)
                .toList();
        return inTime.stream().filter(ClusterTraffic.Result::begun).count() / (double) Math.max(1, inTime.size());
    }

    private static long refused(ClusterTraffic traffic, long fromMillis) {
        return traffic.results.stream()
                .filter(result -> result.sentMillis() >= fromMillis && result.status() == 503)
                .count();
    }
}
