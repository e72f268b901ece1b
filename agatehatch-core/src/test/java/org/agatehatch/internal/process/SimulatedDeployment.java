package org.agatehatch.internal.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.internal.request.AttemptId;
import org.agatehatch.internal.request.RequestAction;
import org.agatehatch.internal.request.StreamFrame;

/** Three nodes, a log, backend servers and callers under virtual time, all on one thread. */
final class SimulatedDeployment {
    static final int NODES = 3;
    static final long WINDOW_MILLIS = 60_000;
    static final long KEEP_MILLIS = 2 * WINDOW_MILLIS;
    static final String STREAM = "claims-0";

    /** What a backend server does with the next request. */
    enum Behaviour {
        ANSWER,
        SLOW_ANSWER,
        SKIP_A_FRAME,
        END_EARLY,
        REPEAT_FRAMES,
        CROSS_FRAMES,
        BREAK_BEFORE_RUN,
        BREAK_AFTER_RUN,
        REFUSE
    }

    final VirtualTime time = new VirtualTime();
    final FaultyLog log = new FaultyLog(time);
    final Random random;
    final Fault fault;
    final RequestOracle oracle = new RequestOracle(WINDOW_MILLIS);
    final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<Behaviour> behaviours = new ArrayList<>();
    private final List<StreamFrame> strayFrames = new ArrayList<>();
    private int nextCall;
    private int lostMessages;

    SimulatedDeployment(Fault fault, long seed) {
        this.fault = fault;
        this.random = new Random(seed);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new SimulatedNode(this, i));
        }
        nodes.forEach(SimulatedNode::start);
    }

    /** Applies one random step. */
    void step(int kind, int a, int b) {
        SimulatedNode node = nodes.get(a % NODES);
        switch (kind) {
            case 0, 1, 2, 3 -> {
                String key = "key-" + b % 3;
                int payload = b % 40 == 0 ? 100 + b % 3 : b % 3;
                node.request(call(key, payload), true);
            }
            case 4 -> node.request(call("", 200 + nextCall), false);
            case 5 -> node.request(call("once-" + nextCall, 200 + nextCall), false);
            case 6 -> node.crash();
            case 7 -> node.pause(b % 2 == 0 ? KEEP_MILLIS + b % 20_000 : 500 + b % 15_000);
            case 8 -> log.startOutage(500 + b % 20_000);
            case 9, 10 -> {
                log.setLateMillis(b % 2 == 0 ? 100 + b % 5_000 : b % (2 * KEEP_MILLIS));
                log.planNextAppends(FaultyLog.AppendFault.values()[a % FaultyLog.AppendFault.values().length]);
            }
            case 11 -> log.dropBefore(STREAM, log.end(STREAM) - b % 6);
            case 12 -> lostMessages = 1 + b % 4;
            case 13, 14 -> behaviours.add(Behaviour.values()[b % Behaviour.values().length]);
            case 15 -> node.see(b);
            case 16 -> node.callersLeave();
            case 17 -> time.advance(b % 4 == 0 ? KEEP_MILLIS + b % 60_000 : 1_000 + b % 30_000);
            case 18 -> {
                // Pauses the node between the grant of a claim and its dispatch if the request waits in the queue.
                node.request(call("key-" + b % 3, b % 3), true);
                time.advance(150);
                node.pause(KEEP_MILLIS + b % 20_000);
            }
            default -> time.advance(10 + b % 1_500);
        }
        time.advance(5);
    }

    static final int STEP_KINDS = 24;

    void randomStep(Random steps) {
        step(steps.nextInt(STEP_KINDS), steps.nextInt(1_000), steps.nextInt(1_000_000));
    }

    private RequestOracle.Call call(String key, int payload) {
        RequestOracle.Call call = new RequestOracle.Call(nextCall++, key, payload);
        oracle.recordCall(call);
        return call;
    }

    /** Sends a message's work to a node, after a delay, unless the network loses it. */
    void network(Runnable delivery) {
        if (lostMessages > 0) {
            lostMessages--;
            return;
        }
        time.runAfter(1 + random.nextInt(20), delivery);
    }

    /** Answers with a failure if the stage is not complete in time. */
    <T> CompletionStage<T> within(long timeoutMillis, CompletableFuture<T> answer) {
        time.runAfter(
                timeoutMillis, () -> answer.completeExceptionally(new IllegalStateException("no answer in time")));
        return answer;
    }

    /** A backend server receives a request. */
    void receive(SimulatedNode.Handling handling, RequestAction.Dispatch dispatch, int payload) {
        Behaviour behaviour = behaviours.isEmpty() ? Behaviour.ANSWER : behaviours.remove(0);
        AttemptId attempt = dispatch.attempt();
        if (behaviour == Behaviour.REFUSE) {
            time.runAfter(5, () -> handling.refused(attempt));
            return;
        }
        if (behaviour == Behaviour.BREAK_BEFORE_RUN) {
            time.runAfter(5, () -> handling.broken(attempt));
            return;
        }
        oracle.recordRun(handling.call(), time.millis());
        if (behaviour == Behaviour.BREAK_AFTER_RUN) {
            time.runAfter(5, () -> handling.broken(attempt));
            return;
        }
        time.runAfter(5, () -> handling.head(attempt));
        long delayMillis = behaviour == Behaviour.SLOW_ANSWER ? 7_000 : 20;
        int frames = RequestOracle.framesOf(payload);
        int end = behaviour == Behaviour.END_EARLY ? frames - 1 : frames;
        for (int i = (int) dispatch.resumeFrom(); i < end; i++) {
            if (behaviour == Behaviour.SKIP_A_FRAME && i == dispatch.resumeFrom() && frames - i > 1) {
                continue;
            }
            StreamFrame frame = new StreamFrame(
                    attempt, i, RequestOracle.frame(payload, i).getBytes(StandardCharsets.UTF_8), i == frames - 1);
            long atMillis = delayMillis + 10L * i;
            if (behaviour == Behaviour.CROSS_FRAMES) {
                List.copyOf(strayFrames).forEach(stray -> time.runAfter(atMillis, () -> handling.frame(stray)));
            }
            strayFrames.add(frame);
            time.runAfter(atMillis, () -> handling.frame(frame));
            if (behaviour == Behaviour.REPEAT_FRAMES) {
                time.runAfter(atMillis, () -> handling.frame(frame));
            }
        }
        while (strayFrames.size() > 6) {
            strayFrames.remove(0);
        }
        time.runAfter(delayMillis + 10L * frames + 5, () -> handling.broken(attempt));
    }
}
