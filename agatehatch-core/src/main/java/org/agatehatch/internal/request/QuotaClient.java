package org.agatehatch.internal.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.fleet.QuotaSpec;
import org.agatehatch.api.fleet.TeamSpec;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.ControlThread;
import org.agatehatch.internal.process.QuotaKeeper;
import org.agatehatch.internal.process.QuotaMessages;

/**
 * Admits requests within their teams' quotas: from a reserve of tokens, by asking the quota keeper, or without a keeper from the
 * share of the rate that the keeper named last. Runs on one thread, which in a node is the traffic thread: all calls, answers and
 * timers.
 */
public final class QuotaClient implements QuotaAdmission {
    /** Time after which a question's grant is not used any more. */
    static final long RESERVE_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Longest time that a request waits for the keeper. */
    static final long MAX_WAIT_MILLIS = 150;

    /** Longest time between two messages to the keeper, which withholds the share of a node that is silent. */
    public static final long KEEP_ALIVE_MILLIS = 250;

    /**
     * Time after the keeper's last answer for which a node that may have left the group uses its share. The keeper can't tell it
     * from a node that has died, and withholds its share a little longer than this.
     */
    public static final long SHARE_LIFE_MILLIS = 3_000;

    /**
     * Tokens of a request that is declared as not run later than this are lost. A request may wait 2.5 s for a model before it
     * is refused; with a life of 500 ms, a team below its quota lost the tokens of all these requests.
     */
    public static final long REFUND_LIFE_MILLIS = 5_000;

    /** Bounds the memory; further requests of the team are refused. */
    static final int MAX_WAITING = 4_096;

    /** Time between two checks of the membership beyond which the node may have left the group and come back. */
    private static final long MAX_PAUSE_MILLIS = 1_000;

    private static final long REFUSED_WITHOUT_KEEPER_MILLIS = 1_000;

    /** Carries a question to the keeper. The stage completes on the client's thread; it fails if there is no keeper. */
    @FunctionalInterface
    public interface Keeper {
        /** Asks the keeper. */
        CompletionStage<QuotaMessages.Grant> ask(QuotaMessages.Question question);
    }

    /** Receives what the client decides. */
    public interface Listener {
        /** Called for each admitted request. */
        void onAdmitted(String team, long tokens, boolean withoutKeeper);

        /** Called for each refused request. */
        void onRefused(String team, long tokens, long retryAfterMillis);

        /** Called when this node has no keeper any more. */
        void onKeeperLost();

        /** Called when a keeper answers again. */
        void onKeeperBack(long epoch, long lostMillis, long admitted, long refused);
    }

    /**
     * Bounds of the deployment on what all nodes together may admit beyond a quota in a window.
     *
     * @param windowSeconds length of the window
     * @param overshoot part of the quota
     * @param slackTokens further tokens
     */
    public record Bounds(double windowSeconds, double overshoot, double slackTokens) {
        /** Nothing is admitted beyond a quota. */
        public static final Bounds NONE = new Bounds(0, 0, 0);

        /**
         * Returns what a node without a share may admit in a window; the rest is left for grants in use and shares. A node that
         * knows no nodes doesn't know how many others do the same, and admits nothing.
         */
        double withoutShare(QuotaSpec quota, int nodes) {
            if (nodes <= 0) {
                return 0;
            }
            double quotaTokens = quota.tokensPerSecond() * windowSeconds + quota.burstTokens();
            return (slackTokens / 2 + overshoot * quotaTokens / 8) / nodes;
        }
    }

    private final String node;
    private final Keeper keeper;
    private final IntSupplier nodeCount;
    private final BooleanSupplier inGroup;
    private final Bounds bounds;
    private final ControlThread scheduler;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Listener listener;
    private final Map<String, QuotaReserve> reserves = new HashMap<>();
    private long questions;
    private long epoch;
    private long answeredNanos;
    private long checkedNanos;
    private boolean everAnswered;
    private boolean withoutKeeper;
    private long lostNanos;
    private long admittedWithoutKeeper;
    private long refusedWithoutKeeper;

    /**
     * Creates a client without a reserve.
     *
     * @param node member name of this node
     * @param inGroup whether no other node can have dropped this node from the group
     * @param scheduler runs the client's timers, on the client's thread
     */
    public QuotaClient(
            String node,
            Keeper keeper,
            IntSupplier nodeCount,
            BooleanSupplier inGroup,
            Bounds bounds,
            ControlThread scheduler,
            MonotonicClock clock,
            RandomGenerator random,
            Listener listener) {
        this.node = node;
        this.keeper = keeper;
        this.nodeCount = nodeCount;
        this.inGroup = inGroup;
        this.bounds = bounds;
        this.scheduler = scheduler;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
    }

    @Override
    public CompletionStage<Admission> admit(TeamSpec team, long tokens) {
        if (!team.quota().limited() || tokens <= 0) {
            return CompletableFuture.completedFuture(Admission.UNCHARGED);
        }
        QuotaReserve reserve = reserves.get(team.name());
        if (reserve == null) {
            reserve = new QuotaReserve(team.name(), team.quota(), clock);
            reserves.put(team.name(), reserve);
        }
        reserve.setQuota(team.quota());
        if (!QuotaKeeper.canFit(team.quota(), tokens)) {
            return CompletableFuture.completedFuture(refused(reserve, tokens, QuotaKeeper.MAX_RETRY_AFTER_MILLIS));
        }
        if (reserve.waiting.isEmpty() && reserve.take(tokens)) {
            return CompletableFuture.completedFuture(admitted(reserve, tokens, false));
        }
        if (withoutKeeper) {
            return CompletableFuture.completedFuture(decideWithoutKeeper(reserve, tokens));
        }
        if (reserve.waiting.size() >= MAX_WAITING) {
            return CompletableFuture.completedFuture(refused(reserve, tokens, Math.max(1, reserve.retryAfterMillis)));
        }
        QuotaReserve.Waiter waiter = new QuotaReserve.Waiter(tokens, clock.nanos());
        reserve.waiting.add(waiter);
        if (reserve.mayAsk()) {
            ask(reserve);
        }
        return waiter.result;
    }

    /** Tells the keeper that this node has it, or looks for one. Call every {@link #KEEP_ALIVE_MILLIS}. */
    public void keepAlive(List<TeamSpec> teams) {
        mayUseShare();
        removeOthers(teams);
        List<QuotaReserve> idle = new ArrayList<>();
        for (TeamSpec team : teams) {
            QuotaReserve reserve = reserves.get(team.name());
            if (reserve == null && team.quota().limited()) {
                reserve = new QuotaReserve(team.name(), team.quota(), clock);
                reserves.put(team.name(), reserve);
            }
            if (reserve != null && reserve.mayAsk()) {
                idle.add(reserve);
            }
        }
        if (!idle.isEmpty()) {
            send(idle.stream().limit(QuotaMessages.MAX_PARTS).toList());
        }
    }

    /** Removes the reserves of teams without a limit, and of teams that left the configuration. */
    private void removeOthers(List<TeamSpec> teams) {
        Map<String, Boolean> limitedByName = new HashMap<>();
        teams.forEach(team -> limitedByName.put(team.name(), team.quota().limited()));
        List<QuotaReserve> removed = reserves.values().stream()
                .filter(reserve -> !limitedByName.getOrDefault(reserve.team, false))
                .toList();
        for (QuotaReserve reserve : removed) {
            reserves.remove(reserve.team);
            List<QuotaReserve.Waiter> undecided = reserve.removeUndecided();
            boolean unlimited = limitedByName.containsKey(reserve.team);
            undecided.forEach(waiter -> waiter.result.complete(
                    unlimited ? Admission.UNCHARGED : refused(reserve, waiter.cost, REFUSED_WITHOUT_KEEPER_MILLIS)));
        }
    }

    private void ask(QuotaReserve reserve) {
        send(List.of(reserve));
    }

    private void send(List<QuotaReserve> asking) {
        long nowNanos = clock.nanos();
        List<QuotaMessages.Part> parts = new ArrayList<>(asking.size());
        Map<String, QuotaReserve.Outstanding> sent = new HashMap<>();
        for (QuotaReserve reserve : asking) {
            List<QuotaReserve.Waiter> asked = reserve.takeWaiting();
            QuotaReserve.Outstanding outstanding = new QuotaReserve.Outstanding(nowNanos, reserve.unbacked, asked);
            parts.add(reserve.nextPart(asked));
            reserve.outstanding = outstanding;
            sent.put(reserve.team, outstanding);
        }
        ControlThread.ScheduledTask timer = scheduler.schedule(
                MAX_WAIT_MILLIS,
                () -> asking.forEach(reserve -> {
                    QuotaReserve.Outstanding outstanding = sent.get(reserve.team);
                    if (reserve.outstanding == outstanding && !outstanding.overdue) {
                        onSilence(reserve, outstanding);
                    }
                }));
        asking.forEach(reserve -> decideOldest(reserve, sent.get(reserve.team)));
        keeper.ask(new QuotaMessages.Question(node, ++questions, epoch, parts)).whenComplete((grant, failure) -> {
            timer.cancel();
            onAnswer(asking, sent, grant, failure);
        });
    }

    /**
     * Decides requests that waited too long, part of it for the answer to an earlier question, while the keeper still has time
     * for this one.
     */
    private void decideOldest(QuotaReserve reserve, QuotaReserve.Outstanding outstanding) {
        if (reserve.outstanding != outstanding || outstanding.overdue) {
            return;
        }
        for (QuotaReserve.Waiter waiter : outstanding.asked) {
            if (!waiter.result.isDone() && waiter.sinceNanos != outstanding.sentNanos) {
                long waitedMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanos() - waiter.sinceNanos);
                if (waitedMillis < MAX_WAIT_MILLIS) {
                    scheduler.schedule(MAX_WAIT_MILLIS - waitedMillis, () -> decideOldest(reserve, outstanding));
                    return;
                }
                decideWithoutGrant(reserve, waiter);
            }
        }
    }

    /** The keeper hears this node, and does not withhold its share. */
    private void decideWithoutGrant(QuotaReserve reserve, QuotaReserve.Waiter waiter) {
        Admission decision = decideFromSlack(reserve, waiter.cost);
        waiter.admittedWithoutKeeper = decision.granted();
        waiter.result.complete(decision);
    }

    private void onSilence(QuotaReserve reserve, QuotaReserve.Outstanding outstanding) {
        outstanding.overdue = true;
        loseKeeper();
        // The keeper may not have received the question.
        reserve.unbacked += outstanding.unbacked;
        for (QuotaReserve.Waiter waiter : outstanding.asked) {
            if (!waiter.result.isDone()) {
                Admission decision = decideWithoutKeeper(reserve, waiter.cost);
                waiter.admittedWithoutKeeper = decision.granted();
                waiter.result.complete(decision);
            }
        }
        for (QuotaReserve.Waiter waiter = reserve.waiting.poll(); waiter != null; waiter = reserve.waiting.poll()) {
            waiter.result.complete(decideWithoutKeeper(reserve, waiter.cost));
        }
    }

    private void onAnswer(
            List<QuotaReserve> asking,
            Map<String, QuotaReserve.Outstanding> sent,
            QuotaMessages.Grant grant,
            Throwable failure) {
        Map<String, QuotaMessages.Answer> answers = new HashMap<>();
        boolean valid = failure == null && grant.epoch() > 0 && grant.epoch() >= epoch;
        if (valid) {
            grant.answers().forEach(answer -> answers.put(answer.team(), answer));
            onEpoch(grant.epoch());
        }
        boolean any = false;
        for (QuotaReserve reserve : asking) {
            QuotaReserve.Outstanding outstanding = sent.get(reserve.team);
            QuotaMessages.Answer answer = answers.get(reserve.team);
            boolean late = clock.nanos() - outstanding.sentNanos >= RESERVE_LIFE_NANOS;
            if (reserve.outstanding != outstanding) {
                continue;
            }
            if (!valid || late) {
                if (!outstanding.overdue) {
                    onSilence(reserve, outstanding);
                }
                continue;
            }
            any = true;
            regainKeeper();
            reserve.outstanding = null;
            if (answer == null) {
                onUnknownTeam(reserve, outstanding);
            } else {
                apply(reserve, outstanding, answer);
            }
        }
        if (any) {
            asking.stream()
                    .filter(reserve -> reserve.mayAsk() && !reserve.waiting.isEmpty())
                    .forEach(this::ask);
        }
    }

    /** The keeper may have another version of the configuration, or answers a copy of the question. */
    private void onUnknownTeam(QuotaReserve reserve, QuotaReserve.Outstanding outstanding) {
        if (!outstanding.overdue) {
            reserve.unbacked += outstanding.unbacked;
        }
        for (QuotaReserve.Waiter waiter : outstanding.asked) {
            if (!waiter.result.isDone()) {
                decideWithoutGrant(reserve, waiter);
            }
        }
    }

    private void onEpoch(long answered) {
        if (answered > epoch) {
            epoch = answered;
            // What was admitted until now replaced grants of the former keeper, and its tokens are unknown to this one.
            reserves.values().forEach(QuotaReserve::discardTokens);
        }
    }

    private void apply(QuotaReserve reserve, QuotaReserve.Outstanding outstanding, QuotaMessages.Answer answer) {
        reserve.share = answer.share();
        reserve.totalShares = answer.totalShares();
        reserve.retryAfterMillis = answer.retryAfterMillis();
        reserve.onKeeper();
        long untilNanos = outstanding.sentNanos + RESERVE_LIFE_NANOS;
        if (outstanding.overdue) {
            // The question arrived after all, so what it reported is not reported again.
            reserve.unbacked = Math.max(0, reserve.unbacked - outstanding.unbacked);
        }
        reserve.add(answer.prefetch(), untilNanos);
        for (int i = 0; i < outstanding.asked.size(); i++) {
            QuotaReserve.Waiter waiter = outstanding.asked.get(i);
            boolean granted = i < answer.granted();
            if (!waiter.result.isDone()) {
                if (granted) {
                    reserve.recordUse(waiter.cost);
                }
                waiter.result.complete(
                        granted
                                ? admitted(reserve, waiter.cost, false)
                                : refused(reserve, waiter.cost, Math.max(1, answer.retryAfterMillis())));
            } else if (granted && waiter.admittedWithoutKeeper) {
                reserve.unbacked = Math.max(0, reserve.unbacked - waiter.cost);
            } else if (granted) {
                reserve.add(waiter.cost, untilNanos);
            }
        }
    }

    private void loseKeeper() {
        if (!withoutKeeper) {
            withoutKeeper = true;
            lostNanos = clock.nanos();
            admittedWithoutKeeper = 0;
            refusedWithoutKeeper = 0;
            listener.onKeeperLost();
        }
    }

    private void regainKeeper() {
        answeredNanos = clock.nanos();
        everAnswered = true;
        if (withoutKeeper) {
            withoutKeeper = false;
            listener.onKeeperBack(
                    epoch,
                    TimeUnit.NANOSECONDS.toMillis(clock.nanos() - lostNanos),
                    admittedWithoutKeeper,
                    refusedWithoutKeeper);
        }
    }

    private Admission decideWithoutKeeper(QuotaReserve reserve, long cost) {
        return mayUseShare() && reserve.share > 0
                ? decided(reserve, cost, reserve.takeFromShare(cost, random.nextDouble()))
                : decideFromSlack(reserve, cost);
    }

    private Admission decideFromSlack(QuotaReserve reserve, long cost) {
        return decided(reserve, cost, reserve.takeFromSlack(cost, bounds, nodeCount.getAsInt()));
    }

    private Admission decided(QuotaReserve reserve, long cost, boolean taken) {
        if (!taken) {
            refusedWithoutKeeper++;
            return refused(reserve, cost, REFUSED_WITHOUT_KEEPER_MILLIS);
        }
        admittedWithoutKeeper++;
        reserve.unbacked += cost;
        return admitted(reserve, cost, true);
    }

    /**
     * Gives the shares up for good once the keeper may have released them; they do not come back with the membership. A node
     * that stood still may have missed that moment.
     */
    private boolean mayUseShare() {
        long nowNanos = clock.nanos();
        boolean recent = everAnswered && TimeUnit.NANOSECONDS.toMillis(nowNanos - answeredNanos) < SHARE_LIFE_MILLIS;
        boolean stoodStill = TimeUnit.NANOSECONDS.toMillis(nowNanos - checkedNanos) > MAX_PAUSE_MILLIS;
        checkedNanos = nowNanos;
        if (!recent && (stoodStill || !inGroup.getAsBoolean())) {
            reserves.values().forEach(QuotaReserve::dropShare);
            return false;
        }
        return everAnswered;
    }

    private Admission admitted(QuotaReserve reserve, long cost, boolean withoutGrant) {
        listener.onAdmitted(reserve.team, cost, withoutGrant);
        return new Admission(true, 0, new ReserveCharge(reserve, cost, withoutGrant));
    }

    private Admission refused(QuotaReserve reserve, long cost, long retryAfterMillis) {
        listener.onRefused(reserve.team, cost, retryAfterMillis);
        return new Admission(false, retryAfterMillis, Charge.NONE);
    }

    private final class ReserveCharge implements Charge {
        private final QuotaReserve reserve;
        private final long cost;
        private final boolean withoutGrant;
        private final long chargedNanos = clock.nanos();
        private final long chargedEpoch = epoch;
        private boolean refunded;

        private ReserveCharge(QuotaReserve reserve, long cost, boolean withoutGrant) {
            this.reserve = reserve;
            this.cost = cost;
            this.withoutGrant = withoutGrant;
        }

        @Override
        public void refund() {
            long ageMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanos() - chargedNanos);
            if (refunded || ageMillis >= REFUND_LIFE_MILLIS || chargedEpoch != epoch) {
                return;
            }
            refunded = true;
            if (withoutGrant) {
                reserve.unbacked = Math.max(0, reserve.unbacked - cost);
            } else {
                reserve.refund(cost, clock.nanos() - chargedNanos >= RESERVE_LIFE_NANOS);
            }
        }
    }
}
