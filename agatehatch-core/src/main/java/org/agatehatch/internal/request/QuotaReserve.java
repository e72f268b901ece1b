package org.agatehatch.internal.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.agatehatch.api.fleet.QuotaSpec;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.DecayingRate;
import org.agatehatch.internal.process.QuotaMessages;

/** What a node has of one team's quota: granted tokens, waiting requests, and the share for times without a keeper. */
final class QuotaReserve {
    /** Averaging time of the tokens fetched ahead: a node fetches what it used in this time. */
    private static final double PREFETCH_SECONDS = 0.5;

    /** Time of its share that a node may save up without a keeper. */
    private static final double SHARE_BURST_SECONDS = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    /** A request that waits for an answer. */
    static final class Waiter {
        final long cost;
        final long sinceNanos;
        final CompletableFuture<QuotaAdmission.Admission> result = new CompletableFuture<>();
        boolean admittedWithoutKeeper;

        Waiter(long cost, long sinceNanos) {
            this.cost = cost;
            this.sinceNanos = sinceNanos;
        }
    }

    /** A question that was not answered yet. */
    static final class Outstanding {
        final long sentNanos;
        final double unbacked;
        final List<Waiter> asked;
        boolean overdue;

        Outstanding(long sentNanos, double unbacked, List<Waiter> asked) {
            this.sentNanos = sentNanos;
            this.unbacked = unbacked;
            this.asked = asked;
        }
    }

    final String team;
    final Deque<Waiter> waiting = new ArrayDeque<>();
    Outstanding outstanding;
    long retryAfterMillis;
    double share;
    double totalShares;
    double unbacked;
    private final MonotonicClock clock;
    private final DecayingRate used;
    private QuotaSpec quota;
    private double tokens;
    private long expiresNanos;
    private double refunded;
    private long refundedNanos;
    private double shareTokens;
    private long shareNanos;
    private boolean shareInUse;
    private double slackTokens;
    private long slackNanos;
    private boolean slackInUse;

    QuotaReserve(String team, QuotaSpec quota, MonotonicClock clock) {
        this.team = team;
        this.quota = quota;
        this.clock = clock;
        this.used = new DecayingRate(clock, PREFETCH_SECONDS);
    }

    /** Adopts the quota of the configuration in force. */
    void setQuota(QuotaSpec inForce) {
        if (!inForce.equals(quota)) {
            // All nodes reduce their shares alike, so that the sum stays below a rate that is lowered without a keeper.
            share *= Math.min(1, inForce.tokensPerSecond() / quota.tokensPerSecond());
            quota = inForce;
        }
    }

    /** Takes the tokens of a request if the reserve holds them. */
    boolean take(long cost) {
        if (tokens < cost || clock.nanos() - expiresNanos >= 0) {
            return false;
        }
        tokens -= cost;
        used.add(cost);
        return true;
    }

    /** Records tokens that a request received from the keeper directly. */
    void recordUse(long cost) {
        used.add(cost);
    }

    /** Adds granted tokens, which replace expired ones. */
    void add(double granted, long untilNanos) {
        if (granted <= 0) {
            return;
        }
        if (clock.nanos() - expiresNanos >= 0) {
            tokens = 0;
        }
        expiresNanos = untilNanos;
        tokens += granted;
    }

    /**
     * Takes the tokens of a request back that did not run. They are returned to the keeper if they or the reserve have expired.
     */
    void refund(long cost, boolean expired) {
        long nowNanos = clock.nanos();
        if (!expired && nowNanos - expiresNanos < 0) {
            tokens += cost;
        } else {
            refunded += cost;
            refundedNanos = nowNanos;
        }
    }

    /** Returns the tokens to be returned to the keeper. A question for more tokens returns those that are left, too. */
    private double takeReturned(boolean asksForMore) {
        long nowNanos = clock.nanos();
        double returned = nowNanos - refundedNanos < QuotaClient.RESERVE_LIFE_NANOS ? refunded : 0;
        refunded = 0;
        long expiredNanos = nowNanos - expiresNanos;
        if (asksForMore || expiredNanos >= 0) {
            returned += expiredNanos < QuotaClient.RESERVE_LIFE_NANOS ? tokens : 0;
            tokens = 0;
        }
        return returned;
    }

    /** Gives the share up, because the keeper may have released it. */
    void dropShare() {
        share = 0;
        totalShares = 0;
    }

    /** Forgets the tokens that a former keeper granted. */
    void discardTokens() {
        tokens = 0;
        refunded = 0;
        unbacked = 0;
    }

    /** Returns the next question's part on this team. */
    QuotaMessages.Part nextPart(List<Waiter> asked) {
        double returned = takeReturned(!asked.isEmpty());
        double prefetch = asked.isEmpty() ? 0 : used.perSecond() * PREFETCH_SECONDS;
        QuotaMessages.Part part = new QuotaMessages.Part(
                team,
                asked.stream().map(waiter -> waiter.cost).toList(),
                prefetch,
                returned,
                unbacked,
                share,
                totalShares);
        unbacked = 0;
        return part;
    }

    /** Returns whether no question is on its way that may still be answered in time. */
    boolean mayAsk() {
        return outstanding == null || outstanding.overdue;
    }

    /** Removes all requests that have not been decided, and gives up the question on them. */
    List<Waiter> removeUndecided() {
        List<Waiter> undecided = new ArrayList<>(waiting);
        waiting.clear();
        if (outstanding != null) {
            outstanding.asked.stream().filter(waiter -> !waiter.result.isDone()).forEach(undecided::add);
            outstanding = null;
        }
        return undecided;
    }

    /** Takes the requests that the next question asks for. */
    List<Waiter> takeWaiting() {
        List<Waiter> asked = new ArrayList<>(Math.min(waiting.size(), QuotaMessages.MAX_COSTS));
        while (!waiting.isEmpty() && asked.size() < QuotaMessages.MAX_COSTS) {
            asked.add(waiting.poll());
        }
        return asked;
    }

    /** Ends a time without a keeper. */
    void onKeeper() {
        shareInUse = false;
    }

    /**
     * Decides on a request from the share of this node. The first one is admitted after a random part of the time in which its
     * cost accrues, so that many nodes with small shares together admit the sum of their shares.
     */
    boolean takeFromShare(long cost, double randomFraction) {
        long nowNanos = clock.nanos();
        if (!shareInUse) {
            shareInUse = true;
            shareTokens = -randomFraction * cost;
        } else {
            double accrued = (nowNanos - shareNanos) / NANOS_PER_SECOND * share;
            shareTokens = Math.min(share * SHARE_BURST_SECONDS, shareTokens + accrued);
        }
        shareNanos = nowNanos;
        if (shareTokens < 0) {
            return false;
        }
        shareTokens -= cost;
        return true;
    }

    /** Decides on a request of a node without a share. */
    boolean takeFromSlack(long cost, QuotaClient.Bounds bounds, int nodes) {
        long nowNanos = clock.nanos();
        // A bucket of half of the tokens that refills within the window admits no more than all of them in any window.
        double capacity = bounds.withoutShare(quota, nodes) / 2;
        if (!slackInUse) {
            slackInUse = true;
            slackTokens = capacity;
        } else if (bounds.windowSeconds() > 0) {
            double accrued = (nowNanos - slackNanos) / NANOS_PER_SECOND * capacity / bounds.windowSeconds();
            slackTokens = Math.min(capacity, slackTokens + accrued);
        }
        slackNanos = nowNanos;
        if (slackTokens < cost) {
            return false;
        }
        slackTokens -= cost;
        return true;
    }
}
