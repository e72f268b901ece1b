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

/** Simulates three nodes, a log, backend servers and callers in virtual time on one thread. */
final class SimulatedDeployment {
    static final int NODES = 3;
    static final long IDEMPOTENCY_WINDOW_MILLIS = 60_000;
    static final long CLAIM_RETENTION_MILLIS = 2 * IDEMPOTENCY_WINDOW_MILLIS;
    static final String STREAM = "claims-0";

    /** How a backend server responds to the next request. */
    enum ServerBehaviour {
        ANSWER,
        SLOW_ANSWER,
        SKIP_FRAME,
        END_EARLY,
        REPEAT_FRAMES,
        INTERLEAVE_STRAY_FRAMES,
        BREAK_BEFORE_RUN,
        BREAK_AFTER_RUN,
        REFUSE
    }

    final VirtualTime time = new VirtualTime();
    final FaultyLog log = new FaultyLog(time);
    final Random random;
    final InjectedFault fault;
    final RequestOracle oracle = new RequestOracle(IDEMPOTENCY_WINDOW_MILLIS);
    final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<ServerBehaviour> behaviours = new ArrayList<>();
    private final List<StreamFrame> strayFrames = new ArrayList<>();
    private int nextCall;
    private int lostMessages;

    SimulatedDeployment(InjectedFault fault, long seed) {
        this.fault = fault;
        this.random = new Random(seed);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new SimulatedNode(this, i));
        }
        nodes.forEach(SimulatedNode::start);
    }

    /** Applies the step of the given kind; {@code a} and {@code b} select its node and parameters. */
    void step(int kind, int a, int b) {
        SimulatedNode node = nodes.get(a % NODES);
        switch (kind) {
            case 0, 1, 2, 3 -> {
                String key = "key-" + b % 3;
                int payload = b % 40 == 0 ? 100 + b % 3 : b % 3;
                node.startRequest(call(key, payload), true);
            }
            case 4 -> node.startRequest(call("", 200 + nextCall), false);
            case 5 -> node.startRequest(call("once-" + nextCall, 200 + nextCall), false);
            case 6 -> node.crash();
            case 7 -> node.pause(b % 2 == 0 ? CLAIM_RETENTION_MILLIS + b % 20_000 : 500 + b % 15_000);
            case 8 -> log.startOutage(500 + b % 20_000);
            case 9, 10 -> {
                log.setLateMillis(b % 2 == 0 ? 100 + b % 5_000 : b % (2 * CLAIM_RETENTION_MILLIS));
                log.planNextAppends(FaultyLog.AppendFault.values()[a % FaultyLog.AppendFault.values().length]);
            }
            case 11 -> log.dropBefore(STREAM, log.end(STREAM) - b % 6);
            case 12 -> lostMessages = 1 + b % 4;
            case 13, 14 -> behaviours.add(ServerBehaviour.values()[b % ServerBehaviour.values().length]);
            case 15 -> node.setVisibleNodes(b);
            case 16 -> node.disconnectCallers();
            case 17 -> time.advance(b % 4 == 0 ? CLAIM_RETENTION_MILLIS + b % 60_000 : 1_000 + b % 30_000);
            case 18 -> {
                // Pauses the node between the grant of the claim and the dispatch, if the request is still queued.
                node.startRequest(call("key-" + b % 3, b % 3), true);
                time.advance(150);
                node.pause(CLAIM_RETENTION_MILLIS + b % 20_000);
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

    /** Runs the delivery of a message after a random network delay, unless the message is to be lost. */
    void deliverOverNetwork(Runnable delivery) {
        if (lostMessages > 0) {
            lostMessages--;
            return;
        }
        time.runAfter(1 + random.nextInt(20), delivery);
    }

    /** Completes the future exceptionally if it is not complete within the timeout. */
    <T> CompletionStage<T> failAfter(long timeoutMillis, CompletableFuture<T> answer) {
        time.runAfter(
                timeoutMillis,
                () -> answer.completeExceptionally(new IllegalStateException("no answer within the timeout")));
        return answer;
    }

    /** Handles a dispatched request as a backend server does, with the next queued behaviour. */
    void receiveAtServer(SimulatedNode.ActiveRequest request, RequestAction.Dispatch dispatch, int payload) {
        ServerBehaviour behaviour = behaviours.isEmpty() ? ServerBehaviour.ANSWER : behaviours.remove(0);
        AttemptId attempt = dispatch.attempt();
        if (behaviour == ServerBehaviour.REFUSE) {
            time.runAfter(5, () -> request.onRefused(attempt));
            return;
        }
        if (behaviour == ServerBehaviour.BREAK_BEFORE_RUN) {
            time.runAfter(5, () -> request.onBroken(attempt));
            return;
        }
        oracle.recordRun(request.call(), time.millis());
        if (behaviour == ServerBehaviour.BREAK_AFTER_RUN) {
            time.runAfter(5, () -> request.onBroken(attempt));
            return;
        }
        time.runAfter(5, () -> request.onHead(attempt));
        long delayMillis = behaviour == ServerBehaviour.SLOW_ANSWER ? 7_000 : 20;
        int frames = RequestOracle.framesOf(payload);
        int end = behaviour == ServerBehaviour.END_EARLY ? frames - 1 : frames;
        for (int i = (int) dispatch.resumeFrom(); i < end; i++) {
            if (behaviour == ServerBehaviour.SKIP_FRAME && i == dispatch.resumeFrom() && frames - i > 1) {
                continue;
            }
            StreamFrame frame = new StreamFrame(
                    attempt, i, RequestOracle.frame(payload, i).getBytes(StandardCharsets.UTF_8), i == frames - 1);
            long atMillis = delayMillis + 10L * i;
            if (behaviour == ServerBehaviour.INTERLEAVE_STRAY_FRAMES) {
                List.copyOf(strayFrames).forEach(stray -> time.runAfter(atMillis, () -> request.onFrame(stray)));
            }
            strayFrames.add(frame);
            time.runAfter(atMillis, () -> request.onFrame(frame));
            if (behaviour == ServerBehaviour.REPEAT_FRAMES) {
                time.runAfter(atMillis, () -> request.onFrame(frame));
            }
        }
        while (strayFrames.size() > 6) {
            strayFrames.remove(0);
        }
        time.runAfter(delayMillis + 10L * frames + 5, () -> request.onBroken(attempt));
    }
}
