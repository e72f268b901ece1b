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

/** One node: feeds events to request machines and carries out their actions. */
final class SimulatedNode {
    private static final long TICK_MILLIS = 200;
    private static final long DEADLINE_MILLIS = 20_000;

    /** Longer than claims are kept, so that only the dispatch limit stops a node that was paused. */
    private static final long LONG_DEADLINE_MILLIS = 5 * SimulatedDeployment.KEEP_MILLIS;

    private final SimulatedDeployment world;
    private final int index;
    private final MonotonicClock clock;
    private final List<Handling> handlings = new ArrayList<>();
    private final RetryBudget budget = new RetryBudget(10);
    private int incarnation;
    private int viewMask = 7;
    private long pausedUntilMillis;
    private ClaimEndpoint endpoint;
    private ClaimClient client;

    SimulatedNode(SimulatedDeployment world, int index) {
        this.world = world;
        this.index = index;
        // The origin of each node's clock differs, so that readings of two nodes cannot be compared by mistake.
        this.clock = () -> world.time.nanos() + index * 1_000_000_000_000L;
    }

    void start() {
        incarnation++;
        int started = incarnation;
        boolean tooShort = world.fault == Fault.KEEP_TOO_SHORT;
        ClaimWriterSettings settings = new ClaimWriterSettings(
                100,
                tooShort ? SimulatedDeployment.WINDOW_MILLIS / 10 : SimulatedDeployment.KEEP_MILLIS,
                SimulatedDeployment.KEEP_MILLIS,
                1_000,
                2_000,
                100,
                1_000,
                20_000,
                1_000);
        Random random = new Random(world.random.nextLong());
        AppendLog log = new NodeLog();
        endpoint = new ClaimEndpoint(
                1, partition -> new ClaimWriter(partition, log, clock, random, this::live, Runnable::run, settings));
        client = new ClaimClient(
                new ClaimClient.Claimant("n" + index, "i" + started),
                1,
                this::view,
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

    /** Runs something on this node, unless it crashes first; a paused node runs it when it goes on. */
    private void run(long delayMillis, Runnable action) {
        int scheduledIn = incarnation;
        world.time.runAfter(delayMillis, () -> {
            if (scheduledIn != incarnation) {
                return;
            }
            if (world.time.millis() < pausedUntilMillis) {
                run(pausedUntilMillis - world.time.millis(), action);
                return;
            }
            action.run();
        });
    }

    private <T> CompletionStage<T> onNode(CompletionStage<T> stage) {
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
        handlings.clear();
        pausedUntilMillis = 0;
        start();
    }

    void pause(long millis) {
        pausedUntilMillis = world.time.millis() + millis;
    }

    void see(int mask) {
        viewMask = mask;
    }

    void callersLeave() {
        List.copyOf(handlings).forEach(handling -> handling.carryOut(handling.machine.onCallerGone()));
        handlings.clear();
    }

    private List<String> view() {
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < SimulatedDeployment.NODES; i++) {
            if (i == index || (viewMask >> i & 1) == 1) {
                nodes.add("n" + i);
            }
        }
        return nodes;
    }

    private boolean live(String node, String claimantIncarnation) {
        return claimantIncarnation.equals("i" + world.nodes.get(Integer.parseInt(node.substring(1))).incarnation);
    }

    void request(RequestOracle.Call call, boolean keyed) {
        run(0, () -> new Handling(call, keyed).begin());
    }

    private final class NodeLog implements AppendLog {
        @Override
        public CompletionStage<Long> append(String stream, byte[] payload) {
            return onNode(world.log.append(
                    stream, world.fault == Fault.CHECKPOINT_WITHOUT_CLAIMS ? withoutRepeats(payload) : payload));
        }

        @Override
        public CompletionStage<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration wait) {
            return onNode(world.log
                    .read(stream, fromOffset, maxRecords, wait)
                    .thenApply(batch -> world.fault == Fault.GAP_HIDDEN
                            ? new LogBatch(renumbered(batch, fromOffset), 0, batch.endOffset())
                            : batch));
        }

        private byte[] withoutRepeats(byte[] payload) {
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
            throw new UnsupportedOperationException("claims are asked, not sent");
        }

        @Override
        public CompletionStage<PeerMessage> ask(String nodeAddress, PeerMessage message, long timeoutMillis) {
            SimulatedNode target = world.nodes.get(Integer.parseInt(nodeAddress.substring(1)));
            CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
            world.network(() -> target.run(
                    0,
                    () -> target.endpoint
                            .handle(message)
                            .orElseThrow()
                            .thenAccept(reply -> world.network(() -> answer.complete(reply)))));
            return onNode(world.within(timeoutMillis, answer));
        }
    }

    /** One request at this node. */
    final class Handling {
        private final RequestOracle.Call call;
        private final boolean keyed;
        private final ClaimScope scope;
        private final RequestStateMachine machine;
        private final int payload;
        private final long deadlineMillis;
        private long nextIndex;
        private AttemptId current = new AttemptId(0, 0);

        private Handling(RequestOracle.Call call, boolean keyed) {
            this.call = call;
            this.keyed = keyed;
            this.payload = call.payload();
            long patienceMillis = world.random.nextInt(3) == 0 ? LONG_DEADLINE_MILLIS : DEADLINE_MILLIS;
            this.deadlineMillis = clock.millis() + patienceMillis;
            this.scope = ClaimScope.of("owner", "desk", new IdempotencyKey(keyed ? call.key() : "none"));
            this.machine = new RequestStateMachine(
                    new RequestSpec(call.key().isEmpty(), keyed, true, deadlineMillis),
                    budget,
                    new Random(world.random.nextLong()));
        }

        RequestOracle.Call call() {
            return call;
        }

        private void begin() {
            handlings.add(this);
            run(deadlineMillis - clock.millis(), () -> carryOut(machine.onDeadline()));
            carryOut(machine.start());
        }

        void head(AttemptId attempt) {
            run(0, () -> machine.onResponseHead(attempt, 200, "text/plain"));
        }

        void frame(StreamFrame frame) {
            run(0, () -> {
                StreamFrame seen = frame;
                if (world.fault == Fault.INDEX_CHECK_OFF) {
                    seen = new StreamFrame(frame.attempt(), nextIndex, frame.data(), frame.last());
                }
                if (world.fault == Fault.ATTEMPT_CHECK_OFF) {
                    seen = new StreamFrame(current, frame.index(), frame.data(), frame.last());
                }
                carryOut(machine.onFrame(seen, clock.millis()));
            });
        }

        void refused(AttemptId attempt) {
            run(0, () -> carryOut(machine.onRefused(attempt, 0, clock.millis())));
        }

        void broken(AttemptId attempt) {
            run(0, () -> {
                boolean retry = world.fault == Fault.RETRY_AFTER_COMMIT;
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
                int chosen = world.random.nextInt(3);
                long queuedMillis = world.random.nextInt(5) == 0 ? world.random.nextInt(12_000) : 5;
                run(queuedMillis, () -> carryOut(machine.onChosen("b" + chosen, "fd" + chosen, clock.millis())));
            } else if (action instanceof RequestAction.Dispatch dispatch) {
                current = dispatch.attempt();
                world.time.runAfter(5, () -> world.receive(this, dispatch, payload));
            } else if (action instanceof RequestAction.SendFrame send) {
                nextIndex++;
                world.oracle.recordReceived(call, new String(send.frame().data(), StandardCharsets.UTF_8));
            } else if (action instanceof RequestAction.Finish) {
                end("ran");
            } else if (action instanceof RequestAction.Replay replay) {
                world.oracle.recordReceived(call, new String(replay.stored().body(), StandardCharsets.UTF_8));
                end("ran");
            } else if (action instanceof RequestAction.Fail fail) {
                end(toldOutcome(fail.error()));
            } else if (action instanceof RequestAction.SettleClaim settle) {
                settle(settle);
            } else if (action instanceof RequestAction.AbandonClaim abandon) {
                client.abandon(abandon.claimId(), scope);
            }
        }

        private String toldOutcome(FinalError error) {
            boolean hidden =
                    world.fault == Fault.UNKNOWN_TOLD_AS_NOT_RUN && error.step().equals("dispatch");
            return (hidden ? Outcome.NOT_RUN : error.outcome()).wireName();
        }

        private void end(String outcome) {
            handlings.remove(this);
            world.oracle.recordReportedOutcome(call, outcome);
        }

        private void settle(RequestAction.SettleClaim settle) {
            if (world.fault == Fault.ABANDON_AFTER_COMMIT && settle.outcome() == Outcome.UNKNOWN) {
                client.abandon(settle.claimId(), scope);
                return;
            }
            client.settle(settle.claimId(), scope, settle.outcome(), settle.stored());
        }

        private void claim() {
            if (world.fault == Fault.GRANT_BEFORE_READ_BACK) {
                String claimId = "c" + call.key() + world.random.nextLong();
                ClaimRecord.Claimed claimed =
                        new ClaimRecord.Claimed(claimId, scope.hash(), payload, "n" + index, "i" + incarnation, -1, 0);
                long sentAtMillis = clock.millis();
                onNode(world.log.append(SimulatedDeployment.STREAM, ClaimRecordCodec.encode(List.of(claimed))))
                        .thenAccept(offset -> claimAnswered(new ClaimAnswer.Granted(claimId, sentAtMillis)));
                return;
            }
            client.claim(scope, payload, deadlineMillis).thenAccept(this::claimAnswered);
        }

        private void claimAnswered(ClaimAnswer answer) {
            ClaimAnswer seen = answer;
            if (world.fault == Fault.GRANT_WITHOUT_PROOF && answer instanceof ClaimAnswer.Unavailable unavailable) {
                seen = unavailable.inDoubt() ? new ClaimAnswer.Granted("unproven", clock.millis()) : answer;
            }
            Optional<ClaimAnswer.Granted> granted =
                    seen instanceof ClaimAnswer.Granted held ? Optional.of(held) : Optional.empty();
            if (world.fault == Fault.NO_DISPATCH_LIMIT && granted.isPresent()) {
                seen = new ClaimAnswer.Granted(granted.get().claimId(), Long.MAX_VALUE / 2);
            }
            ClaimAnswer given = seen;
            run(0, () -> carryOut(machine.onClaimAnswer(given)));
        }
    }
}
