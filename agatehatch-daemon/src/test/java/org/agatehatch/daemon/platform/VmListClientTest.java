package org.agatehatch.daemon.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatehatch.daemon.endless.EndlessServer;
import org.agatehatch.daemon.endless.EndlessServer.Reply;
import org.agatehatch.daemon.platform.VmListClient.Vm;
import org.apache.pekko.actor.ActorSystem;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Guards against an old list of VMs that takes the place of a newer one. */
public final class VmListClientTest {
    private ActorSystem system;

    @BeforeClass
    public void start() {
        system = ActorSystem.create("vm-list-client-test");
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        system.terminate();
    }

    /** Guards against a server that is marked as live again because the answer of an earlier read arrives last. */
    @Test
    public void the_answer_of_an_earlier_read_is_not_returned_after_that_of_a_later_one() {
        CountDownLatch firstAsked = new CountDownLatch(1);
        CountDownLatch laterAnswered = new CountDownLatch(1);
        AtomicInteger requests = new AtomicInteger();
        try (EndlessServer server = new EndlessServer(request -> {
            if (requests.getAndIncrement() > 0) {
                return list("leaving");
            }
            firstAsked.countDown();
            awaitUnchecked(laterAnswered);
            return list("live");
        })) {
            VmListClient client = new VmListClient(new PlatformHttp(system), URI.create("http://" + server.address()));
            CompletableFuture<List<Vm>> earlier = client.read().toCompletableFuture();
            awaitUnchecked(firstAsked);
            List<Vm> later = client.read().toCompletableFuture().join();
            laterAnswered.countDown();

            assertEquals(later.get(0).state(), "leaving");
            assertTrue(earlier.handle((vms, failure) -> failure != null).join(), "the earlier list was returned");
        }
    }

    private static Reply list(String state) {
        String json = "{\"vms\":[{\"name\":\"s\",\"address\":\"a:1\",\"kind\":\"backend_server\",\"state\":\"" + state
                + "\"}]}";
        return new Reply.Ended(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + json.length() + "\r\n\r\n"
                        + json,
                false);
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
