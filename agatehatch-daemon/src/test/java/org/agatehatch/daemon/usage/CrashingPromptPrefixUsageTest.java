package org.agatehatch.daemon.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.agatehatch.standins.PlatformSettings;
import org.agatehatch.standins.engine.AttemptLog;
import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Requests to all nodes whose prompts begin with a text that crashes engines and are otherwise different, and sound ones. */
public final class CrashingPromptPrefixUsageTest {
    private static final int NODES = 3;
    private static final int REQUESTS = 24;
    private static final int MAX_CRASHES = 5;
    private static final int MAX_SENDS_AFTERWARDS = 3;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long PAUSE_MILLIS = 700;
    private static final int REFUSED_STATUS = 422;
    private static final String SOUND_PREFIX = "Which grit for a mortise chisel? ".repeat(40);
    private static final String SHARED_PREFIX = "boom " + "Which grit for a blunt claw chisel? ".repeat(40);

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
        deployment
                .platform()
                .engines()
                .forEach(engine -> engine.faults().merge("{\"crash_on_text\":\"boom\",\"restart_millis\":300}"));
    }

    @AfterClass
    public void stop() {
        deployment.close();
    }

    private long crashed() {
        return deployment.platform().engines().stream()
                .flatMap(engine -> engine.attempts().stream())
                .map(AttemptLog.Entry::state)
                .filter("crashed"::equals)
                .count();
    }

    // Guards against a prompt prefix that crashes one engine after another, since no two requests with it are alike.
    @Test
    public void requests_with_a_prefix_that_crashes_engines_are_kept_from_them() {
        List<CompletableFuture<?>> callers = new ArrayList<>();
        int soundRefused = 0;
        long fifthCrashNanos = 0;
        long crashedBefore = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int request = i;
            callers.add(CompletableFuture.runAsync(
                    () -> deployment.complete(request % NODES, "counter-8b", SHARED_PREFIX + request, 20, false)));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS));
            int soundStatus = deployment
                    .complete(request % NODES, "counter-8b", SOUND_PREFIX + request, 20, false)
                    .statusCode();
            soundRefused += soundStatus == REFUSED_STATUS ? 1 : 0;
            if (fifthCrashNanos == 0 && crashed() >= MAX_CRASHES) {
                fifthCrashNanos = System.nanoTime();
            }
            boolean contained = fifthCrashNanos != 0
                    && System.nanoTime() - fifthCrashNanos > TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
            if (contained && crashedBefore == 0) {
                crashedBefore = crashed();
            }
        }
        callers.forEach(CompletableFuture::join);
        long afterwards = crashedBefore == 0 ? 0 : crashed() - crashedBefore;
        String figures = "crashed=" + crashed() + " afterwards=" + afterwards + " sound_refused=" + soundRefused;
        Reporter.log(figures, true);
        assertTrue(afterwards <= MAX_SENDS_AFTERWARDS, figures);
        assertEquals(soundRefused, 0, figures);
    }
}
