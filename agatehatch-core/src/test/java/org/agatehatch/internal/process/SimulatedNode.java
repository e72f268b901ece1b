package org.agatehatch.internal.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.request.AttemptId;
import org.agatehatch.internal.request.ClaimAnswer;
import org.agatehatch.internal.request.ClaimScope;
import org.agatehatch.internal.request.FinalError;
import org.agatehatch.internal.request.IdempotencyKey;
import org.agatehatch.internal.request.RequestAction;
import org.agatehatch.internal.request.RequestSpec;
import org.agatehatch.internal.request.RequestStateMachine;
import org.agatehatch.internal.request.RetryBudget;
import org.agatehatch.internal.request.StreamFrame;

/** A simulated node: passes events to its request machines and executes the actions that they return. */
final class SimulatedNode {
    private static final long TICK_MILLIS = 200;
    private static final long DEADLINE_MILLIS = 20_000;

    /** Exceeds the claim retention, so that only the dispatch limit prevents a dispatch by a node that was paused. */
    private static final long LONG_DEADLINE_MILLIS = 5 * SimulatedDeployment.CLAIM_RETENTION_MILLIS;

    private final SimulatedDeployment deployment;
    private final int index;
    private final MonotonicClock clock;
    private final List<ActiveRequest> activeRequests = new ArrayList<>();
    private final RetryBudget budget = new RetryBudget(10);
    private int incarnation;
    private int visibleNodesMask = 7;
    private long pausedUntilMillis;
    private ClaimEndpoint endpoint;
    private ClaimClient client;

    SimulatedNode(SimulatedDeployment deployment, int index) {
        this.deployment = deployment;
        this.index = index;
        // Each node's clock has a different origin, because readings of two nodes must never be compared.
        this.clock = () -> deployment.time.nanos() + index * 1_000_000_000_000L;
    }

    void start() {
        incarnation++;
        int started = incarnation;
        boolean retentionTooShort = deployment.fault == InjectedFault.RETENTION_TOO_SHORT;
        ClaimWriterSettings settings = new ClaimWriterSettings(
                100,
                retentionTooShort
                        ? SimulatedDeployment.IDEMPOTENCY_WINDOW_MILLIS / 10
                        : SimulatedDeployment.CLAIM_RETENTION_MILLIS,
                SimulatedDeployment.CLAIM_RETENTION_MILLIS,
                1_000,
                2_000,
                100,
                1_000,
                20_000,
                1_000);
        Random random = new Random(deployment.random.nextLong());
        AppendLog log = new NodeLog();
        endpoint = new ClaimEndpoint(
                1, partition -> new ClaimWriter(partition, log, clock, random, this::isLive, Runnable::run, settings));
        client = new ClaimClient(
                new ClaimClient.Claimant("n" + index, "i" + started),
                1,
                this::visibleNodes,
                endpoint,
                new NodeTransport(),
                clock,
                random,
                Runnable::run);
        run(TICK_MILLIS, this::tick);
    }

    private void tick() {
        endpoint.tick();
        client.tick();
        run(TICK_MILLIS, this::tick);
    }

    /** Runs an action on this node after a delay: not if the node crashes first, and after the end of a pause. */
    private void run(long delayMillis, Runnable action) {
        int scheduledIn = incarnation;
        deployment.time.runAfter(delayMillis, () -> {
            if (scheduledIn != incarnation) {
                return;
            }
            if (deployment.time.millis() < pausedUntilMillis) {
                run(pausedUntilMillis - deployment.time.millis(), action);
                return;
            }
            action.run();
        });
    }

    private <T> CompletionStage<T> deliverOnNode(CompletionStage<T> stage) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        stage.whenComplete((value, failure) -> run(0, () -> {
            if (failure == null) {
                answer.complete(value);
            } else {
                answer.completeExceptionally(failure);
            }
        }));
        return answer;
    }

    void crash() {
        activeRequests.clear();
        pausedUntilMillis = 0;
        start();
    }

    void pause(long millis) {
        pausedUntilMillis = deployment.time.millis() + millis;
    }

    void setVisibleNodes(int mask) {
        visibleNodesMask = mask;
    }

    void disconnectCallers() {
        List.copyOf(activeRequests).forEach(request -> request.carryOut(request.machine.onCallerGone()));
        activeRequests.clear();
    }

    private List<String> visibleNodes() {
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < SimulatedDeployment.NODES; i++) {
            if (i == index || (visibleNodesMask >> i & 1) == 1) {
                nodes.add("n" + i);
            }
        }
        return nodes;
    }

    private boolean isLive(String node, String claimantIncarnation) {
        return claimantIncarnation.equals("i" + deployment.nodes.get(Integer.parseInt(node.substring(1))).incarnation);
    }

    void startRequest(RequestOracle.Call call, boolean keyed) {
        run(0, () -> new ActiveRequest(call, keyed).begin());
    }

    private final class NodeLog implements AppendLog {
        @Override
        public CompletionStage<Long> append(String stream, byte[] payload) {
            return deliverOnNode(deployment.log.append(
                    stream,
                    deployment.fault == InjectedFault.CHECKPOINT_WITHOUT_CLAIMS
                            ? withoutRepeatedClaims(payload)
                            : payload));
        }

        @Override
        public CompletionStage<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration wait) {
            return deliverOnNode(deployment
                    .log
                    .read(stream, fromOffset, maxRecords, wait)
                    .thenApply(batch -> deployment.fault == InjectedFault.LOG_GAP_HIDDEN
                            ? new LogBatch(renumbered(batch, fromOffset), 0, batch.endOffset())
                            : batch));
        }

        private byte[] withoutRepeatedClaims(byte[] payload) {
            List<ClaimRecord> records = ClaimRecordCodec.decode(payload);
            boolean checkpoint = records.stream().anyMatch(ClaimRecord.Checkpoint.class::isInstance);
            return ClaimRecordCodec.encode(records.stream()
                    .filter(record -> !checkpoint || record instanceof ClaimRecord.Checkpoint)
                    .toList());
        }

        private List<LogRecord> renumbered(LogBatch batch, long fromOffset) {
            List<LogRecord> records = new ArrayList<>();
            for (long offset = fromOffset; offset < batch.oldestOffset(); offset++) {
                records.add(new LogRecord(offset, ClaimRecordCodec.encode(List.of())));
            }
            records.addAll(batch.records());
            return records;
        }
    }

    private final class NodeTransport implements PeerTransport {
        @Override
        public void send(String nodeAddress, PeerMessage message) {
            throw new UnsupportedOperationException(
                    "claims are requests with a reply; one-way messages are not supported");
        }

        @Override
        public CompletionStage<PeerMessage> ask(String nodeAddress, PeerMessage message, long timeoutMillis) {
            SimulatedNode target = deployment.nodes.get(Integer.parseInt(nodeAddress.substring(1)));
            CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
            deployment.deliverOverNetwork(() -> target.run(
                    0,
                    () -> target.endpoint
                            .handle(message)
                            .orElseThrow()
                            .thenAccept(reply -> deployment.deliverOverNetwork(() -> answer.complete(reply)))));
            return deliverOnNode(deployment.failAfter(timeoutMillis, answer));
        }
    }

    /** A request that this node is processing. */
    final class ActiveRequest {
        private final RequestOracle.Call call;
        private final boolean keyed;
        private final ClaimScope scope;
        private final RequestStateMachine machine;
        private final int payload;
        private final long deadlineMillis;
        private long nextIndex;
        private AttemptId currentAttempt = new AttemptId(0, 0);

        private ActiveRequest(RequestOracle.Call call, boolean keyed) {
            this.call = call;
            this.keyed = keyed;
            this.payload = call.payload();
            long timeoutMillis = deployment.random.nextInt(3) == 0 ? LONG_DEADLINE_MILLIS : DEADLINE_MILLIS;
            this.deadlineMillis = clock.millis() + timeoutMillis;
            this.scope = ClaimScope.of("owner", "desk", new IdempotencyKey(keyed ? call.key() : "none"));
            this.machine = new RequestStateMachine(
                    new RequestSpec(call.key().isEmpty(), keyed, true, deadlineMillis),
                    budget,
                    new Random(deployment.random.nextLong()));
        }

        RequestOracle.Call call() {
            return call;
        }

        private void begin() {
            activeRequests.add(this);
            run(deadlineMillis - clock.millis(), () -> carryOut(machine.onDeadline()));
            carryOut(machine.start());
        }

        void onHead(AttemptId attempt) {
            run(0, () -> machine.onResponseHead(attempt, 200, "text/plain"));
        }

        void onFrame(StreamFrame frame) {
            run(0, () -> {
                StreamFrame seen = frame;
                if (deployment.fault == InjectedFault.INDEX_CHECK_DISABLED) {
                    seen = new StreamFrame(frame.attempt(), nextIndex, frame.data(), frame.last());
                }
                if (deployment.fault == InjectedFault.ATTEMPT_CHECK_DISABLED) {
                    seen = new StreamFrame(currentAttempt, frame.index(), frame.data(), frame.last());
                }
                carryOut(machine.onFrame(seen, clock.millis()));
            });
        }

        void onRefused(AttemptId attempt) {
            run(0, () -> carryOut(machine.onRefused(attempt, 0, clock.millis())));
        }

        void onBroken(AttemptId attempt) {
            run(0, () -> {
                boolean retry = deployment.fault == InjectedFault.RETRY_AFTER_COMMIT;
                carryOut(
                        retry
                                ? machine.onRefused(attempt, 0, clock.millis())
                                : machine.onBroken(attempt, clock.millis()));
            });
        }

        private void carryOut(List<RequestAction> actions) {
            actions.forEach(this::carryOut);
        }

        private void carryOut(RequestAction action) {
            if (action instanceof RequestAction.Claim) {
                claim();
            } else if (action instanceof RequestAction.Choose) {
                int chosen = deployment.random.nextInt(3);
                long queuedMillis = deployment.random.nextInt(5) == 0 ? deployment.random.nextInt(12_000) : 5;
                run(queuedMillis, () -> carryOut(machine.onChosen("b" + chosen, "fd" + chosen, clock.millis())));
            } else if (action instanceof RequestAction.Dispatch dispatch) {
                currentAttempt = dispatch.attempt();
                deployment.time.runAfter(5, () -> deployment.receiveAtServer(this, dispatch, payload));
            } else if (action instanceof RequestAction.SendFrame send) {
                nextIndex++;
                deployment.oracle.recordReceived(call, new String(send.frame().data(), StandardCharsets.UTF_8));
            } else if (action instanceof RequestAction.Finish) {
                reportOutcome("ran");
            } else if (action instanceof RequestAction.Replay replay) {
                deployment.oracle.recordReceived(
                        call, new String(replay.stored().body(), StandardCharsets.UTF_8));
                reportOutcome("ran");
            } else if (action instanceof RequestAction.Fail fail) {
                reportOutcome(reportedOutcome(fail.error()));
            } else if (action instanceof RequestAction.SettleClaim settle) {
                settle(settle);
            } else if (action instanceof RequestAction.AbandonClaim abandon) {
                client.abandon(abandon.claimId(), scope);
            }
        }

        private String reportedOutcome(FinalError error) {
            boolean reportAsNotRun = deployment.fault == InjectedFault.UNKNOWN_REPORTED_AS_NOT_RUN
                    && error.step().equals("dispatch");
            return (reportAsNotRun ? Outcome.NOT_RUN : error.outcome()).wireName();
        }

        private void reportOutcome(String outcome) {
            activeRequests.remove(this);
            deployment.oracle.recordReportedOutcome(call, outcome);
        }

        private void settle(RequestAction.SettleClaim settle) {
            if (deployment.fault == InjectedFault.ABANDON_AFTER_COMMIT && settle.outcome() == Outcome.UNKNOWN) {
                client.abandon(settle.claimId(), scope);
                return;
            }
            client.settle(settle.claimId(), scope, settle.outcome(), settle.stored());
        }

        private void claim() {
            if (deployment.fault == InjectedFault.GRANT_BEFORE_READ_BACK) {
                String claimId = "c" + call.key() + deployment.random.nextLong();
                ClaimRecord.Claimed claimed =
                        new ClaimRecord.Claimed(claimId, scope.hash(), payload, "n" + index, "i" + incarnation, -1, 0);
                long sentAtMillis = clock.millis();
                deliverOnNode(deployment.log.append(
                                SimulatedDeployment.STREAM, ClaimRecordCodec.encode(List.of(claimed))))
                        .thenAccept(offset -> onClaimAnswer(new ClaimAnswer.Granted(claimId, sentAtMillis)));
                return;
            }
            client.claim(scope, payload, deadlineMillis).thenAccept(this::onClaimAnswer);
        }

        private void onClaimAnswer(ClaimAnswer answer) {
            ClaimAnswer seen = answer;
            if (deployment.fault == InjectedFault.GRANT_WITHOUT_PROOF
                    && answer instanceof ClaimAnswer.Unavailable unavailable) {
                seen = unavailable.inDoubt() ? new ClaimAnswer.Granted("unproven", clock.millis()) : answer;
            }
            Optional<ClaimAnswer.Granted> granted =
                    seen instanceof ClaimAnswer.Granted held ? Optional.of(held) : Optional.empty();
            if (deployment.fault == InjectedFault.NO_DISPATCH_LIMIT && granted.isPresent()) {
                seen = new ClaimAnswer.Granted(granted.get().claimId(), Long.MAX_VALUE / 2);
            }
            ClaimAnswer given = seen;
            run(0, () -> carryOut(machine.onClaimAnswer(given)));
        }
    }
}
