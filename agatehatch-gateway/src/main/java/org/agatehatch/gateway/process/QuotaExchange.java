package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.TeamSpec;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.internal.process.ControlThread;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.NodeView;
import org.agatehatch.internal.process.PlacementGrant;
import org.agatehatch.internal.process.QuotaKeeper;
import org.agatehatch.internal.process.QuotaMessages;
import org.agatehatch.internal.request.QuotaAdmission;
import org.agatehatch.internal.request.QuotaClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries questions on quotas to the quota keeper, which is the placement holder, and answers them while this node is it. The
 * client and its timers run on the traffic thread; the keeper runs on the control thread, because the lease does.
 */
final class QuotaExchange {
    private static final Logger log = LoggerFactory.getLogger(QuotaExchange.class);

    /** Interval at which the keeper and the client follow the group, the lease and the configuration. */
    private static final long FOLLOW_MILLIS = 100;

    /** Age beyond which a note of this node's membership does not count, for instance after the process stood still. */
    private static final long MAX_MEMBERSHIP_NOTE_MILLIS = 300;

    /** A grant is not used after this time. */
    private static final long ASK_TIMEOUT_MILLIS = 500;

    private final EventLoop loop;
    private final ControlThread control;
    private final NodeIdentity self;
    private final Supplier<Optional<NodeIdentity>> holder;
    private final Supplier<List<TeamSpec>> teams;
    private final Supplier<Optional<PlacementGrant>> grant;
    private final BooleanSupplier membershipValid;
    private final int peerPort;
    private final MonotonicClock clock;
    private final GatewayMetrics metrics;
    private final QuotaKeeper keeper;
    private final QuotaClient client;
    private Optional<PeerTransport> transport = Optional.empty();
    private List<TeamSpec> appliedTeams = List.of();
    private volatile MembershipNote membership = new MembershipNote(false, 0);

    private record MembershipNote(boolean valid, long atNanos) {}

    /**
     * Creates an exchange that is not started.
     *
     * @param grant this node's grant as placement holder; called on the control thread
     * @param membershipValid whether no other node can have dropped this one; called on the control thread
     */
    QuotaExchange(
            EventLoop loop,
            ControlThread control,
            NodeIdentity self,
            Supplier<NodeView> nodes,
            Supplier<Optional<NodeIdentity>> holder,
            Supplier<List<TeamSpec>> teams,
            Supplier<Optional<PlacementGrant>> grant,
            BooleanSupplier membershipValid,
            int peerPort,
            QuotaClient.Bounds bounds,
            MonotonicClock clock,
            RandomGenerator random,
            GatewayMetrics metrics) {
        this.loop = loop;
        this.control = control;
        this.self = self;
        this.holder = holder;
        this.teams = teams;
        this.grant = grant;
        this.membershipValid = membershipValid;
        this.peerPort = peerPort;
        this.clock = clock;
        this.metrics = metrics;
        this.keeper = new QuotaKeeper(() -> memberNames(nodes.get()), this::isConfirmed, clock);
        this.client = new QuotaClient(
                self.memberName(),
                this::ask,
                () -> nodes.get().nodes().size(),
                this::isInGroup,
                bounds,
                new LoopThread(),
                clock,
                random,
                new QuotaLog(metrics));
    }

    /** Returns the decisions on requests; they are made on the traffic thread. */
    QuotaAdmission admission() {
        return client;
    }

    /** Starts to follow the keeper. Runs on the traffic thread. */
    void start(PeerTransport started) {
        transport = Optional.of(started);
        loop.scheduleWithFixedDelay(
                this::keepAlive, QuotaClient.KEEP_ALIVE_MILLIS, QuotaClient.KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS);
        control.execute(this::follow);
    }

    /** An exception would end the periodic task. */
    private void keepAlive() {
        try {
            client.keepAlive(teams.get());
        } catch (RuntimeException e) {
            log.warn("event=quota_keep_alive_failed", e);
        }
    }

    /** Handles a question of another node. */
    CompletionStage<PeerMessage> receive(PeerMessage message) {
        QuotaMessages.Question question = QuotaMessages.decodeQuestion(message);
        CompletableFuture<PeerMessage> result = new CompletableFuture<>();
        control.execute(() -> answerOrFail(question).whenComplete((answer, failure) -> {
            if (failure == null) {
                result.complete(QuotaMessages.encode(answer));
            } else {
                result.completeExceptionally(failure);
            }
        }));
        return result;
    }

    private CompletionStage<QuotaMessages.Grant> ask(QuotaMessages.Question question) {
        CompletableFuture<QuotaMessages.Grant> result = new CompletableFuture<>();
        Optional<NodeIdentity> currentHolder = holder.get();
        if (currentHolder.isEmpty() || transport.isEmpty()) {
            result.completeExceptionally(new IllegalStateException("no node is known to hold the placement lease"));
        } else if (currentHolder.get().name().equals(self.name())) {
            control.execute(
                    () -> answerOrFail(question).whenComplete((answer, failure) -> onLoop(result, answer, failure)));
        } else {
            String address = new PeerAddress(currentHolder.get().host(), peerPort).toString();
            transport
                    .get()
                    .ask(address, QuotaMessages.encode(question), ASK_TIMEOUT_MILLIS)
                    .thenApply(QuotaMessages::decodeGrant)
                    .whenComplete((answer, failure) -> onLoop(result, answer, failure));
        }
        return result;
    }

    private void onLoop(CompletableFuture<QuotaMessages.Grant> result, QuotaMessages.Grant answer, Throwable failure) {
        loop.execute(() -> {
            if (failure == null) {
                result.complete(answer);
            } else {
                result.completeExceptionally(failure);
            }
        });
    }

    private CompletionStage<QuotaMessages.Grant> answerOrFail(QuotaMessages.Question question) {
        try {
            return answer(question);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Decides as the keeper. Runs on the control thread. */
    private CompletionStage<QuotaMessages.Grant> answer(QuotaMessages.Question question) {
        CompletableFuture<QuotaMessages.Grant> result = new CompletableFuture<>();
        if (!isKeeper()) {
            result.completeExceptionally(new IllegalStateException(self.name() + " is not the quota keeper"));
            return result;
        }
        QuotaKeeper.Reply reply = keeper.request(question);
        if (reply.delayMillis() == 0) {
            result.complete(reply.grant());
        } else {
            control.schedule(reply.delayMillis(), () -> result.complete(reply.grant()));
        }
        return result;
    }

    /** Returns whether this node may grant now, and starts the keeper if this is new. */
    private boolean isKeeper() {
        applyTeams();
        Optional<PlacementGrant> present = grant.get();
        if (present.isEmpty()) {
            // The keeper's buckets are kept: the grant may come back under the same token.
            return false;
        }
        long epoch = present.get().token();
        if (keeper.epoch().isEmpty() || keeper.epoch().getAsLong() != epoch) {
            keeper.start(epoch);
            if (!appliedTeams.isEmpty()) {
                log.info("event=quota_keeper_started epoch={} teams={}", epoch, appliedTeams.size());
            }
        }
        return true;
    }

    private void applyTeams() {
        List<TeamSpec> inForce = teams.get();
        if (inForce != appliedTeams) {
            appliedTeams = inForce;
            keeper.applyConfig(inForce);
        }
    }

    private void follow() {
        try {
            membership = new MembershipNote(membershipValid.getAsBoolean(), clock.nanos());
            keeper.observe();
            metrics.quotaTokensLeft(isKeeper() ? keeper.tokensLeft() : Map.of());
        } catch (RuntimeException e) {
            log.warn("event=quota_follow_failed", e);
        } finally {
            control.schedule(FOLLOW_MILLIS, this::follow);
        }
    }

    private boolean isConfirmed() {
        return grant.get().map(PlacementGrant::confirmed).orElse(false);
    }

    private boolean isInGroup() {
        MembershipNote note = membership;
        return note.valid()
                && TimeUnit.NANOSECONDS.toMillis(clock.nanos() - note.atNanos()) < MAX_MEMBERSHIP_NOTE_MILLIS;
    }

    private static Set<String> memberNames(NodeView view) {
        return view.nodes().stream().map(NodeIdentity::memberName).collect(Collectors.toSet());
    }

    /** Runs the client's timers on the traffic thread. */
    private final class LoopThread implements ControlThread {
        @Override
        public void execute(Runnable task) {
            loop.execute(task);
        }

        @Override
        public ScheduledTask schedule(long delayMillis, Runnable task) {
            ScheduledFuture<?> scheduled = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
            return () -> scheduled.cancel(false);
        }
    }
}
