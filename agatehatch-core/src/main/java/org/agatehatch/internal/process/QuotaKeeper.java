package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.QuotaSpec;
import org.agatehatch.api.fleet.TeamSpec;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Grants tokens of the teams' quotas to the nodes, at the node that holds the placement lease. Runs on one thread, which in a
 * node is the control thread.
 *
 * <p>Each answer names the share of a team's rate that the node may admit while it has no keeper. The sum of the shares is
 * never above the rate. As long as a node that has a share is silent, it may be admitting without a keeper, so its share is
 * withheld from the bucket. A new keeper does not know the shares that its predecessor gave; it learns them from the nodes'
 * first questions and withholds the rest of the sum that they were told.
 */
public final class QuotaKeeper {
    /** Nodes ask at least every 250 ms; one question may be lost. */
    static final long SILENCE_MILLIS = 600;

    /**
     * Time for which a node that left the group is taken to use its share. Exceeds
     * {@link org.agatehatch.internal.request.QuotaClient#SHARE_LIFE_MILLIS}.
     */
    static final long RELEASE_MILLIS = 3_500;

    /**
     * Time after its start from which a keeper may take shares that no node has named for gone. A predecessor that is cut off
     * may act for {@link #UNCONFIRMED_LIFE_MILLIS} before its nodes' shares begin to expire.
     */
    static final long UNCLAIMED_LIFE_MILLIS = 6_500;

    /** Time for which a keeper that may have a successor, and hears less than half of the nodes, goes on. */
    static final long UNCONFIRMED_LIFE_MILLIS = 3_000;

    /** Longest delay of an answer for tokens that accrue meanwhile. */
    static final long MAX_HOLD_MILLIS = 100;

    /** Time after the start during which answers are delayed, since the buckets start empty. */
    private static final long HOLD_PERIOD_MILLIS = 1_000;

    /** Time for which a node that is silent and not in the group still counts as one that may be cut off. */
    private static final long NODE_MEMORY_MILLIS = 600_000;

    private static final long WITHHELD_REFRESH_MILLIS = 50;

    /** Bounds the state; beyond it the least recently added node is forgotten. */
    private static final int MAX_NODES = 2_048;

    /** Longest time that an answer names. */
    public static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    private static final double MAX_PREFETCH_USE = 0.5;

    /** Fraction of a bucket that one node may fetch ahead. */
    private static final double MAX_PREFETCH_FRACTION = 0.25;

    /** A request above the bucket's capacity is granted from a full bucket if it exceeds it by no more than this. */
    private static final double MAX_EXCESS_TOKENS = 20_000;

    /** Part of the rate that is not withheld, below which a request above the bucket's capacity is not granted. */
    private static final double MIN_GRANTING_FOR_EXCESS = 0.5;

    private static final double SHARE_AVERAGE_SECONDS = 4;
    private static final double USE_AVERAGE_SECONDS = 1;
    private static final double MIN_SHARE = 1;

    /** Longest debt, in seconds of the rate, that admissions without a grant leave behind. */
    private static final double MAX_DEBT_SECONDS = 1;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** An answer, and the time after which it may be sent. */
    public record Reply(QuotaMessages.Grant grant, long delayMillis) {}

    private final Supplier<Set<String>> members;
    private final BooleanSupplier confirmed;
    private final MonotonicClock clock;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Long> heardNanos = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_NODES;
        }
    };
    private final Map<String, Long> seenNanosByName = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_NODES;
        }
    };
    private List<TeamSpec> teams = List.of();
    private OptionalLong epoch = OptionalLong.empty();
    private long startedNanos;
    private long confirmedNanos;
    private long surveyedNanos;
    private Set<String> present = Set.of();
    private boolean hearsMost;
    private boolean mayRelease;
    private boolean settled;

    /**
     * Creates a keeper that does not act.
     *
     * @param members member names of the nodes in the group
     * @param confirmed whether no other keeper can act
     */
    public QuotaKeeper(Supplier<Set<String>> members, BooleanSupplier confirmed, MonotonicClock clock) {
        this.members = members;
        this.confirmed = confirmed;
        this.clock = clock;
    }

    /** Returns whether a request of this cost can be granted at all under this quota. */
    public static boolean canFit(QuotaSpec quota, long cost) {
        return cost <= quota.burstTokens() + MAX_EXCESS_TOKENS;
    }

    /** Begins to grant, with empty buckets. Does nothing if the keeper already acts in this epoch. */
    public void start(long newEpoch) {
        if (epoch.isPresent() && epoch.getAsLong() == newEpoch) {
            return;
        }
        epoch = OptionalLong.of(newEpoch);
        startedNanos = clock.nanos();
        confirmedNanos = startedNanos;
        settled = false;
        buckets.clear();
        heardNanos.clear();
        createBuckets();
        survey(startedNanos);
    }

    /** Ends granting. */
    public void stop() {
        epoch = OptionalLong.empty();
        buckets.clear();
        heardNanos.clear();
    }

    /** Returns the epoch in which this keeper acts; empty if it does not. */
    public OptionalLong epoch() {
        return epoch;
    }

    /** Adopts the teams of a configuration. Buckets are capped at the new limits; those of new teams are empty. */
    public void applyConfig(List<TeamSpec> newTeams) {
        teams = List.copyOf(newTeams);
        if (epoch.isPresent()) {
            createBuckets();
        }
    }

    private void createBuckets() {
        Set<String> names = new HashSet<>();
        for (TeamSpec team : teams) {
            if (team.quota().limited()) {
                names.add(team.name());
                Bucket bucket = buckets.computeIfAbsent(team.name(), name -> new Bucket(team.quota()));
                bucket.refill(clock.nanos());
                bucket.setLimit(team.quota());
            }
        }
        buckets.keySet().retainAll(names);
    }

    /** Notes which nodes there are. Call every second, also while the keeper does not act. */
    public void observe() {
        survey(clock.nanos());
    }

    /** Returns the tokens left in each team's bucket. */
    public Map<String, Double> tokensLeft() {
        Map<String, Double> left = new HashMap<>();
        buckets.forEach((team, bucket) -> {
            bucket.refill(clock.nanos());
            left.put(team, bucket.tokens);
        });
        return left;
    }

    /**
     * Decides on a question. The answer has nothing on teams that this keeper doesn't know, and nothing at all if it does not
     * act or has a successor.
     */
    public Reply request(QuotaMessages.Question question) {
        long nowNanos = clock.nanos();
        if (epoch.isEmpty() || question.epoch() > epoch.getAsLong()) {
            return new Reply(new QuotaMessages.Grant(epoch.orElse(0), List.of()), 0);
        }
        survey(nowNanos);
        if (isIsolated(nowNanos)) {
            heardNanos.put(question.node(), nowNanos);
            return new Reply(new QuotaMessages.Grant(0, List.of()), 0);
        }
        List<QuotaMessages.Answer> answers = new ArrayList<>(question.parts().size());
        long delayMillis = 0;
        for (QuotaMessages.Part part : question.parts()) {
            Bucket bucket = buckets.get(part.team());
            if (bucket == null) {
                continue;
            }
            // The silence ends with this question, so it is accounted for before.
            bucket.refill(nowNanos);
            Share share = bucket.shareOf(question, part);
            if (question.id() <= share.lastQuestion) {
                continue;
            }
            share.lastQuestion = question.id();
            answers.add(bucket.answer(question, part, share, nowNanos));
            delayMillis = Math.max(delayMillis, bucket.millisUntil(0));
        }
        heardNanos.put(question.node(), nowNanos);
        long holdMillis = Math.min(delayMillis, MAX_HOLD_MILLIS);
        return new Reply(new QuotaMessages.Grant(epoch.getAsLong(), answers), isHolding(nowNanos) ? holdMillis : 0);
    }

    private boolean isHolding(long nowNanos) {
        return millisBetween(startedNanos, nowNanos) < HOLD_PERIOD_MILLIS;
    }

    /** A keeper that may have a successor goes on only if it hears most nodes, because then its successor does not. */
    private boolean isIsolated(long nowNanos) {
        return millisBetween(confirmedNanos, nowNanos) > UNCONFIRMED_LIFE_MILLIS && !hearsMost;
    }

    private void survey(long nowNanos) {
        if (surveyedNanos != 0 && millisBetween(surveyedNanos, nowNanos) < WITHHELD_REFRESH_MILLIS) {
            return;
        }
        surveyedNanos = nowNanos;
        boolean isConfirmed = confirmed.getAsBoolean();
        if (isConfirmed) {
            confirmedNanos = nowNanos;
        }
        present = members.get();
        heardNanos.values().removeIf(at -> millisBetween(at, nowNanos) > NODE_MEMORY_MILLIS);
        Set<String> heardNames = new HashSet<>();
        heardNanos.forEach((member, at) -> {
            if (millisBetween(at, nowNanos) <= SILENCE_MILLIS) {
                heardNames.add(nameOf(member));
            }
        });
        heardNames.forEach(name -> seenNanosByName.put(name, nowNanos));
        present.forEach(member -> seenNanosByName.put(nameOf(member), nowNanos));
        seenNanosByName.values().removeIf(at -> millisBetween(at, nowNanos) > NODE_MEMORY_MILLIS);
        hearsMost = 2 * heardNames.size() > seenNanosByName.size();
        mayRelease = isConfirmed && hearsMost;
        boolean allHeard = heardNanos.keySet().containsAll(present);
        settled |= allHeard && mayRelease && millisBetween(startedNanos, nowNanos) > UNCLAIMED_LIFE_MILLIS;
    }

    /** A node that restarts is another member under the same name. */
    private static String nameOf(String member) {
        int end = member.indexOf('|');
        return end < 0 ? member : member.substring(0, end);
    }

    private boolean isSilent(String node, long nowNanos) {
        Long heard = heardNanos.get(node);
        return heard == null || millisBetween(heard, nowNanos) > SILENCE_MILLIS;
    }

    private boolean isReleased(String node, long nowNanos) {
        Long heard = heardNanos.get(node);
        boolean expired = heard == null || millisBetween(heard, nowNanos) > RELEASE_MILLIS;
        return expired && mayRelease && !present.contains(node);
    }

    private static long millisBetween(long fromNanos, long toNanos) {
        return TimeUnit.NANOSECONDS.toMillis(toNanos - fromNanos);
    }

    /** What a node may admit of a team without a keeper. */
    private final class Share {
        private final DecayingRate granted = new DecayingRate(clock, SHARE_AVERAGE_SECONDS);
        private long lastQuestion;
        private double told;
        private double held;
        private double withheld;

        /** The node may not have received the last answer. */
        private double outstanding() {
            return Math.max(told, held);
        }
    }

    private final class Bucket {
        private final Map<String, Share> shares = new LinkedHashMap<>();
        private final DecayingRate granted = new DecayingRate(clock, USE_AVERAGE_SECONDS);
        private double rate;
        private double capacity;
        private double tokens;
        private long refilledNanos;
        private long refusedNanos;
        private boolean everRefused;
        private double inheritedTotal;
        private double granting = 1;
        private double inheritedClaimed;

        private Bucket(QuotaSpec quota) {
            refilledNanos = clock.nanos();
            setLimit(quota);
        }

        private void setLimit(QuotaSpec quota) {
            rate = quota.tokensPerSecond();
            capacity = quota.burstTokens();
            tokens = Math.min(tokens, capacity);
        }

        private void refill(long nowNanos) {
            double seconds = (nowNanos - refilledNanos) / NANOS_PER_SECOND;
            if (seconds <= 0) {
                return;
            }
            refilledNanos = nowNanos;
            double withheldRate = unclaimed();
            shares.keySet().removeIf(node -> isReleased(node, nowNanos));
            for (Map.Entry<String, Share> entry : shares.entrySet()) {
                Share share = entry.getValue();
                if (isSilent(entry.getKey(), nowNanos)) {
                    withheldRate += share.outstanding();
                    share.withheld += seconds * share.outstanding();
                }
            }
            // Two keepers on the sides of a partition must not both save up a whole burst.
            granting = Math.max(0, 1 - withheldRate / rate);
            tokens = Math.min(capacity * granting, tokens + seconds * rate * granting);
        }

        /**
         * Returns the sum of shares of an earlier epoch whose nodes have not been heard. If few are heard, they may have been cut
         * off before the present shares were given, so the rest is withheld in full.
         */
        private double unclaimed() {
            if (settled) {
                return 0;
            }
            double total = hearsMost ? inheritedTotal : rate;
            return Math.min(rate, Math.max(0, total - inheritedClaimed));
        }

        private Share shareOf(QuotaMessages.Question question, QuotaMessages.Part part) {
            Share known = shares.get(question.node());
            if (known != null) {
                return known;
            }
            if (shares.size() >= MAX_NODES) {
                shares.remove(shares.keySet().iterator().next());
            }
            Share share = new Share();
            shares.put(question.node(), share);
            if (question.epoch() < epoch.orElse(0)) {
                // The predecessor told it this share.
                inheritedTotal = Math.max(inheritedTotal, part.totalShares());
                inheritedClaimed += part.share();
            }
            return share;
        }

        private QuotaMessages.Answer answer(
                QuotaMessages.Question question, QuotaMessages.Part part, Share share, long nowNanos) {
            share.held = part.share();
            settle(question, part, share);
            int count = 0;
            double sum = 0;
            double limit = isHolding(nowNanos) ? -rate * MAX_HOLD_MILLIS / MILLIS_PER_SECOND : 0;
            for (long cost : part.costs()) {
                if (tokens - limit < needed(cost)) {
                    break;
                }
                tokens -= cost;
                sum += cost;
                count++;
            }
            long retryAfterMillis = 0;
            if (count < part.costs().size()) {
                refusedNanos = nowNanos;
                everRefused = true;
                retryAfterMillis = Math.max(1, millisUntil(needed(part.costs().get(count))));
            }
            double prefetch = count == part.costs().size() ? prefetch(part, nowNanos) : 0;
            tokens -= prefetch;
            granted.add(sum + prefetch);
            share.granted.add(sum + prefetch);
            share.told = newShare(share);
            return new QuotaMessages.Answer(
                    part.team(),
                    count,
                    prefetch,
                    retryAfterMillis,
                    use(nowNanos),
                    share.told,
                    outstandingShares() + unclaimed());
        }

        private double needed(long cost) {
            double most = granting < MIN_GRANTING_FOR_EXCESS ? capacity : capacity * granting;
            return cost <= capacity + MAX_EXCESS_TOKENS ? Math.min(cost, most) : Double.MAX_VALUE;
        }

        /** Takes back what the node did not use, and what it admitted beyond what was withheld for it. */
        private void settle(QuotaMessages.Question question, QuotaMessages.Part part, Share share) {
            if (question.epoch() == epoch.orElse(0)) {
                tokens = Math.min(capacity * granting, tokens + part.returned());
                share.granted.add(-part.returned());
                double debt = Math.max(0, part.unbacked() - share.withheld);
                tokens = Math.max(Math.min(tokens, -rate * MAX_DEBT_SECONDS), tokens - debt);
            }
            share.withheld = 0;
        }

        private double prefetch(QuotaMessages.Part part, long nowNanos) {
            return use(nowNanos) < MAX_PREFETCH_USE
                    ? Math.max(0, Math.min(part.prefetch(), tokens * MAX_PREFETCH_FRACTION))
                    : 0;
        }

        private double use(long nowNanos) {
            boolean refused = everRefused && nowNanos - refusedNanos < NANOS_PER_SECOND;
            return refused ? 1 : Math.max(0, Math.min(1, granted.perSecond() / rate));
        }

        private double newShare(Share share) {
            double others = outstandingShares() - share.outstanding() + unclaimed();
            double recent = Math.min(share.granted.perSecond(), rate - others);
            return recent < MIN_SHARE ? 0 : recent;
        }

        private double outstandingShares() {
            double sum = 0;
            for (Share share : shares.values()) {
                sum += share.outstanding();
            }
            return sum;
        }

        private long millisUntil(double wanted) {
            double millis = Math.ceil((wanted - tokens) / rate * MILLIS_PER_SECOND);
            return (long) Math.max(0, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
        }
    }
}
