package org.agatehatch.internal.process;

import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a change that reaches a reader too late because the ages of the relay's view, the reader's interval, its timeout
 * and its own read of the store add up. The failure begins at each moment around the change.
 */
public final class TopicPropagationTest {
    /** Bound for a change of the configuration in a group with relays. */
    private static final long CONFIG_BOUND_MILLIS = 3_000;
    /** Bound for a server that leaves. */
    private static final long DRAIN_BOUND_MILLIS = 2_000;

    private static final long RELAY_TIMEOUT_MILLIS = 300;
    private static final long STORE_TIMEOUT_MILLIS = 900;
    private static final long[] FAILURE_MILLIS = {-300, 0, 500};
    /** Offsets of the reads of the relay, and of those of the reader, from the change. */
    private static final long PHASE_STEP_MILLIS = 45;

    private static final long MAX_PHASE_MILLIS = 900;
    /** Pauses are as long as they can be. */
    private static final RandomGenerator NO_JITTER = () -> 0;

    /** A relay and a reader of a topic, with what can fail between them and the store. */
    private static final class Deployment {
        private final VirtualTime time = new VirtualTime();
        private final FakeKeyedTopic store = new FakeKeyedTopic(time, 4);
        private final FakeKeyedTopic readerConnection = store.secondConnection();
        private final VirtualTime.Node relayNode = time.node(1);
        private final RelayedTopic relay;
        private boolean relaySilent;
        private long seenMillis = -1;

        private Deployment(TopicFollowerSettings settings, long relayPhaseMillis, long readerPhaseMillis) {
            store.put("key", "old");
            relay = new RelayedTopic("t", store, Optional::empty, () -> true, Arrays::equals, relayNode, time);
            new TopicFollower("t", relay, settings, relayNode, time, NO_JITTER, (key, value) -> {}).start();
            time.advance(1_500 + relayPhaseMillis);
            VirtualTime.Node node = time.node(1);
            RelayedTopic reader = new RelayedTopic(
                    "t", readerConnection, () -> Optional.of(this::ask), () -> true, Arrays::equals, node, time);
            TopicFollower.Listener listener = (key, value) -> {
                if (new String(value, StandardCharsets.UTF_8).equals("new")) {
                    seenMillis = millis();
                }
            };
            new TopicFollower("t", reader, settings, node, time, NO_JITTER, listener).start();
            time.advance(2_000 + readerPhaseMillis);
        }

        private long millis() {
            return time.nanos() / 1_000_000;
        }

        private CompletionStage<TopicMessages.Response> ask(TopicMessages.Request request) {
            CompletableFuture<TopicMessages.Response> answer = new CompletableFuture<>();
            relayNode.schedule(2, () -> {
                if (!relaySilent) {
                    TopicMessages.Response response = TopicMessages.decodeResponse(TopicMessages.encode(
                            relay.respond(TopicMessages.decodeRequest(TopicMessages.encode(request)))));
                    time.runAfter(2, () -> answer.complete(response));
                }
            });
            time.runAfter(
                    RELAY_TIMEOUT_MILLIS,
                    () -> answer.completeExceptionally(new IllegalStateException("no answer from the relay")));
            return answer;
        }

        /** Returns how long a change took to reach the reader; a failure begins at a time relative to it. */
        private long propagationMillis(long failureMillis, Consumer<Deployment> failure) {
            time.runAfter(Math.max(0, failureMillis), () -> failure.accept(this));
            time.advance(Math.max(0, -failureMillis));
            store.put("key", "new");
            long changedMillis = millis();
            time.advance(10_000);
            return seenMillis < 0 ? Long.MAX_VALUE : seenMillis - changedMillis;
        }
    }

    private enum Fault {
        NONE(deployment -> {}),
        RELAY_CUT_FROM_STORE(deployment -> deployment.store.setDown(true)),
        RELAY_FROZEN(deployment -> deployment.relayNode.pause()),
        RELAY_SILENT(deployment -> deployment.relaySilent = true),
        RELAY_GETS_NO_ANSWERS(deployment -> deployment.store.holdAnswers());

        private final Consumer<Deployment> effect;

        Fault(Consumer<Deployment> effect) {
            this.effect = effect;
        }
    }

    @DataProvider
    public Object[][] faults() {
        return Arrays.stream(Fault.values()).map(fault -> new Object[] {fault}).toArray(Object[][]::new);
    }

    private static void assertPropagates(TopicFollowerSettings settings, Fault fault, long boundMillis) {
        List<String> late = new ArrayList<>();
        long longestMillis = 0;
        for (long relayMillis = 0; relayMillis <= MAX_PHASE_MILLIS; relayMillis += PHASE_STEP_MILLIS) {
            for (long readerMillis = 0; readerMillis <= MAX_PHASE_MILLIS; readerMillis += PHASE_STEP_MILLIS) {
                for (long failureMillis : FAILURE_MILLIS) {
                    long tookMillis = new Deployment(settings, relayMillis, readerMillis)
                            .propagationMillis(failureMillis, fault.effect);
                    longestMillis = Math.max(longestMillis, tookMillis);
                    if (tookMillis > boundMillis) {
                        late.add("phases " + relayMillis + " and " + readerMillis + " ms, failure at " + failureMillis
                                + " ms: " + tookMillis + " ms");
                    }
                }
            }
        }
        assertTrue(
                late.isEmpty(),
                late.size() + " late, the longest " + longestMillis + " ms, the first: "
                        + late.stream().limit(3).toList());
    }

    @Test(dataProvider = "faults")
    public void a_change_of_the_configuration_reaches_a_reader_in_time(Fault fault) {
        // A reader whose first read of the store gets no answer spends the timeout on it.
        assertPropagates(TopicFollowerSettings.LONG_POLLING, fault, CONFIG_BOUND_MILLIS - STORE_TIMEOUT_MILLIS);
    }

    @Test(dataProvider = "faults")
    public void a_server_that_leaves_is_known_to_a_reader_in_time(Fault fault) {
        assertPropagates(TopicFollowerSettings.PERIODIC_WITH_RELAYS, fault, DRAIN_BOUND_MILLIS);
    }
}
