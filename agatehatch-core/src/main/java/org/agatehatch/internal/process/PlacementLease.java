package org.agatehatch.internal.process;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The lease on sending residency orders to runners: a record in the store with a fencing token and the name of the holder, the
 * placement holder. The holder keeps the lease while it is in the group; then another node replaces the record by a conditional
 * append. Runs on the control thread.
 *
 * <p>The holder has a confirmed grant while its membership is valid and it has recently read its own lease. A new holder waits
 * longer than that before it acts. If the holder's calls to the store fail, either the store is down and no node can replace
 * the record, or only the holder is cut off and another node may. The holder then keeps an unconfirmed grant if runners refuse
 * stale tokens.
 *
 * <p>A record is valid only in the era of the store in which it was appended, which its token names. After a restore of the store
 * the newest record may be that of an earlier holder, the record of the present one may be lost, and an append may meet its
 * condition by chance. The holder then appends its lease again; other nodes wait for that before they try. Since a token of a new
 * era is above all earlier ones, none is given out twice even if no node remembers the lost ones.
 */
public final class PlacementLease {
    /** Interval at which the holder reads the lease. */
    static final long CHECK_INTERVAL_MILLIS = 600;

    /** Age of the last read beyond which the holder's grant is no longer confirmed. */
    static final long MAX_CHECK_AGE_MILLIS = 1_200;

    /** Time for which a node that took the lease over waits before it acts. Exceeds {@link #MAX_CHECK_AGE_MILLIS}. */
    static final long TAKEOVER_WAIT_MILLIS = 1_300;

    /** Delay per rank in the order of succession before a node tries to take the lease over. */
    static final long SUCCESSION_DELAY_MILLIS = 250;

    /** Time that the holder has to append its lease again in a new era: a check interval, a read and an append. */
    static final long RENEWAL_GRACE_MILLIS = 900;

    /** Nodes that are first in the order of succession and follow each change; the others are told of a new holder. */
    private static final int FIRST_SUCCESSORS = 3;

    /** Minimum time between two reads of the other nodes, below the time after which a lost holder's requests are refused. */
    private static final long FOLLOWER_READ_INTERVAL_MILLIS = 1_500;

    /** Tokens of one era; take-overs are seconds apart. */
    private static final int ERA_SHIFT = 32;

    private static final String KEY = "placement";
    private static final Logger log = LoggerFactory.getLogger(PlacementLease.class);

    /**
     * The lease as it is stored.
     *
     * @param member the holder's member name
     * @param token fencing token; increases with each take-over and each era of the store
     */
    record LeaseRecord(String member, long token) {
        /** Returns the era of the store in which the record was appended. */
        long era() {
            return token >>> ERA_SHIFT;
        }

        byte[] encode() {
            return (token + " " + member).getBytes(StandardCharsets.UTF_8);
        }

        static Optional<LeaseRecord> decode(byte[] bytes) {
            String[] fields = new String(bytes, StandardCharsets.UTF_8).split(" ", 2);
            try {
                return fields.length == 2
                        ? Optional.of(new LeaseRecord(fields[1], Long.parseLong(fields[0])))
                        : Optional.empty();
            } catch (NumberFormatException e) {
                return Optional.empty();
            }
        }
    }

    private final NodeIdentity self;
    private final KeyedTopic topic;
    private final BooleanSupplier membershipValid;
    private final boolean runnersCheckTokens;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final Consumer<Optional<NodeIdentity>> publisher;
    private NodeView nodes = NodeView.EMPTY;
    private Optional<LeaseRecord> lease = Optional.empty();
    private long era;
    private boolean outdated;
    private long lastReadNanos;
    private long actFromNanos;
    private boolean readInFlight;
    private boolean membershipChangedSinceRead;
    private boolean inLineOfSuccession = true;
    private OptionalLong lastRequestNanos = OptionalLong.empty();
    private boolean everRead;
    private OptionalLong unansweredSinceNanos = OptionalLong.empty();
    private long resignedToken = -1;
    private long resignedNanos;
    private long inheritedToken = -1;
    private boolean readFailing;

    /**
     * Creates a lease whose holder is not known yet.
     *
     * @param membershipValid whether no other node can regard this node's membership as expired
     * @param runnersCheckTokens whether runners refuse orders with a token below the highest that they have seen
     * @param publisher receives the holder whenever it changes
     */
    public PlacementLease(
            NodeIdentity self,
            KeyedTopic topic,
            BooleanSupplier membershipValid,
            boolean runnersCheckTokens,
            ControlThread control,
            MonotonicClock clock,
            Consumer<Optional<NodeIdentity>> publisher) {
        this.self = self;
        this.topic = topic;
        this.membershipValid = membershipValid;
        this.runnersCheckTokens = runnersCheckTokens;
        this.control = control;
        this.clock = clock;
        this.publisher = publisher;
    }

    /** Starts the periodic check of the lease. */
    public void start() {
        control.schedule(CHECK_INTERVAL_MILLIS, this::check);
    }

    /** Updates the view of the group's nodes. */
    public void onMembershipChange(NodeView view) {
        nodes = view;
        inLineOfSuccession = successionOrder(view).stream()
                .limit(FIRST_SUCCESSORS)
                .anyMatch(node -> node.name().equals(self.name()));
        if (view.generation() > 0 && (lease.isEmpty() || holderLeft()) && mayReadAgain()) {
            read();
        } else {
            // The next check reads the lease, so that many membership changes in a short time cost one read.
            membershipChangedSinceRead = true;
        }
    }

    /** Reads the lease again, because the store came back from an older copy. */
    public void onNewEra() {
        outdated = true;
        read();
    }

    /** Reads the lease again, because another node says that it has taken it over. */
    public void onHolderChanged() {
        // A read in flight may have begun before the change.
        membershipChangedSinceRead = true;
        read();
    }

    /**
     * Reads the lease again if another node names a holder that this node does not know. The notice of a take-over may be lost, and
     * a former holder answers reports as before.
     */
    public void onHolderNamed(String member) {
        boolean known = lease.isPresent() && lease.get().member().equals(member);
        boolean readLately = lastRequestNanos.isPresent()
                && millisSince(lastRequestNanos.getAsLong()) < FOLLOWER_READ_INTERVAL_MILLIS;
        if (!member.isEmpty() && !known && !readLately) {
            read();
        }
    }

    /** Returns this node's present grant to send orders; empty if it has none. */
    public Optional<PlacementGrant> currentGrant() {
        if (!isHolder() || hasResigned() || clock.nanos() - actFromNanos < 0) {
            return Optional.empty();
        }
        boolean confirmed = isConfirmed();
        boolean unconfirmed = runnersCheckTokens && readFailing;
        return confirmed || unconfirmed
                ? Optional.of(new PlacementGrant(lease.orElseThrow().token(), confirmed))
                : Optional.empty();
    }

    private boolean hasResigned() {
        return lease.isPresent() && lease.get().token() == resignedToken;
    }

    /** Returns for how long reads of the store have gone unanswered or failed; 0 if the last one succeeded. */
    long unansweredMillis() {
        return unansweredSinceNanos.isPresent() ? millisSince(unansweredSinceNanos.getAsLong()) : 0;
    }

    /** Returns the token with which this node holds the lease; empty if it does not hold it, or has given it up. */
    OptionalLong heldToken() {
        return isHolder() && !hasResigned()
                ? OptionalLong.of(lease.orElseThrow().token())
                : OptionalLong.empty();
    }

    /** Gives this node's grant up for good if it still holds the lease with a token, and returns whether it does. */
    boolean resign(long token) {
        if (heldToken().isEmpty() || heldToken().getAsLong() != token) {
            return false;
        }
        resignedToken = token;
        resignedNanos = clock.nanos();
        return true;
    }

    /** Completes with whether this node reaches the store and finds a member's lease with a token there. */
    CompletionStage<Boolean> isUnchanged(String member, long token) {
        return topic.snapshot()
                .handle((snapshot, failure) -> failure == null
                        && membershipValid.getAsBoolean()
                        && record(snapshot).equals(Optional.of(new LeaseRecord(member, token))));
    }

    /** Takes the lease over from a holder that has given it up, and acts as soon as it is written. */
    void takeOverResigned(String member, long token) {
        inheritedToken = token;
        long requestedNanos = clock.nanos();
        topic.snapshot()
                .whenComplete((snapshot, failure) -> control.execute(() -> {
                    if (failure != null) {
                        log.info("event=claim_not_read cause={}", failure.toString());
                        return;
                    }
                    onRead(snapshot, requestedNanos);
                    boolean unchanged = lease.equals(Optional.of(new LeaseRecord(member, token)));
                    if (unchanged && snapshot.era() == era && membershipValid.getAsBoolean()) {
                        append(snapshot.endOffset());
                    }
                }));
    }

    private boolean isConfirmed() {
        boolean recent = everRead && millisSince(lastReadNanos) < MAX_CHECK_AGE_MILLIS;
        return recent && membershipValid.getAsBoolean();
    }

    /** Returns the order in which nodes take the lease over: by processor capacity, highest first. */
    static List<NodeIdentity> successionOrder(NodeView view) {
        return view.nodes().stream()
                .sorted(Comparator.comparingInt(NodeIdentity::capacityPercent)
                        .reversed()
                        .thenComparing(NodeIdentity::memberName))
                .toList();
    }

    /**
     * Takes the lease over from a node that is still in the group but does not answer. That node learns of the take-over when
     * it reads the lease, which it does more often than this node waits before it acts.
     */
    public void takeOverFrom(NodeIdentity unresponsive) {
        long requestedNanos = clock.nanos();
        topic.snapshot()
                .whenComplete((snapshot, failure) -> control.execute(() -> {
                    if (failure != null) {
                        log.info("event=claim_not_read cause={}", failure.toString());
                        return;
                    }
                    onRead(snapshot, requestedNanos);
                    boolean stillHolds =
                            lease.isPresent() && lease.get().member().equals(unresponsive.memberName());
                    if (stillHolds && snapshot.era() == era && membershipValid.getAsBoolean()) {
                        append(snapshot.endOffset());
                    }
                }));
    }

    private void check() {
        // Other nodes read only after a membership change, while the known holder is not in the group, or while no
        // lease of
        // the present era is known.
        boolean readNeeded = isHolder() || holderLeft() || membershipChangedSinceRead || outdated;
        if (readNeeded && mayReadAgain()) {
            read();
        }
        control.schedule(CHECK_INTERVAL_MILLIS, this::check);
    }

    /**
     * Limits the reads of the nodes that are not next in line. A new holder tells them, so that they read to be sure only; else each
     * change in a large group would cost a call for each of its nodes.
     */
    private boolean mayReadAgain() {
        return inLineOfSuccession
                || isHolder()
                || lastRequestNanos.isEmpty()
                || millisSince(lastRequestNanos.getAsLong()) >= FOLLOWER_READ_INTERVAL_MILLIS;
    }

    private boolean isHolder() {
        return lease.isPresent() && lease.get().member().equals(self.memberName());
    }

    private boolean holderLeft() {
        return nodes.generation() > 0 && lease.flatMap(this::holderNode).isEmpty();
    }

    private Optional<NodeIdentity> holderNode(LeaseRecord present) {
        return nodes.nodes().stream()
                .filter(node -> node.memberName().equals(present.member()))
                .findFirst();
    }

    private void read() {
        if (readInFlight) {
            return;
        }
        readInFlight = true;
        if (unansweredSinceNanos.isEmpty()) {
            unansweredSinceNanos = OptionalLong.of(clock.nanos());
        }
        membershipChangedSinceRead = false;
        long requestedNanos = clock.nanos();
        lastRequestNanos = OptionalLong.of(requestedNanos);
        topic.snapshot()
                .whenComplete((snapshot, failure) -> control.execute(() -> {
                    readInFlight = false;
                    readFailing = failure != null;
                    if (failure != null) {
                        log.info("event=claim_not_read cause={}", failure.toString());
                        return;
                    }
                    unansweredSinceNanos = OptionalLong.empty();
                    onRead(snapshot, requestedNanos);
                }));
    }

    private static Optional<LeaseRecord> record(KeyedTopic.Snapshot snapshot) {
        return snapshot.entries().stream()
                .filter(entry -> entry.key().equals(KEY))
                .findFirst()
                .flatMap(KeyedTopic.Entry::value)
                .flatMap(LeaseRecord::decode);
    }

    private void onRead(KeyedTopic.Snapshot snapshot, long requestedNanos) {
        if (snapshot.era() < era) {
            return;
        }
        era = snapshot.era();
        Optional<LeaseRecord> found = record(snapshot);
        long foundToken = found.map(LeaseRecord::token).orElse(0L);
        long knownToken = lease.map(LeaseRecord::token).orElse(0L);
        outdated = found.isEmpty() || found.get().era() != era;
        if (!outdated) {
            if (foundToken < knownToken) {
                // The read is stale, because tokens only increase.
                return;
            }
            updateLease(found);
            everRead = true;
            lastReadNanos = requestedNanos;
            if (hasResigned() && isHolder() && millisSince(resignedNanos) >= RENEWAL_GRACE_MILLIS) {
                // The node to which the lease was handed over has not written it.
                append(snapshot.endOffset());
                return;
            }
            if (holderLeft() && membershipValid.getAsBoolean()) {
                scheduleTakeOver(snapshot.endOffset(), 0);
            }
            return;
        }
        if (foundToken > knownToken) {
            updateLease(found);
        }
        if (nodes.generation() == 0 || !membershipValid.getAsBoolean()) {
            return;
        }
        if (isHolder()) {
            append(snapshot.endOffset());
        } else {
            scheduleTakeOver(snapshot.endOffset(), holderLeft() ? 0 : RENEWAL_GRACE_MILLIS);
        }
    }

    private void updateLease(Optional<LeaseRecord> found) {
        if (found.equals(lease)) {
            return;
        }
        boolean own = found.isPresent() && found.get().member().equals(self.memberName());
        boolean heldBefore =
                isHolder() && (lease.map(LeaseRecord::era).equals(found.map(LeaseRecord::era)) || isConfirmed());
        if (own && !heldBefore) {
            // Another node may have acted until now, whether the take-over was confirmed or a read shows it.
            boolean inherited = inheritedToken >= 0 && found.get().token() == inheritedToken + 1;
            actFromNanos = clock.nanos() + (inherited ? 0 : TAKEOVER_WAIT_MILLIS * 1_000_000);
        }
        lease = found;
        log.info(
                "event=placement_holder holder={} token={} own={}",
                found.map(LeaseRecord::member).orElse("none"),
                found.map(LeaseRecord::token).orElse(0L),
                isHolder());
        publisher.accept(found.flatMap(present -> NodeIdentity.parse(present.member())));
    }

    /**
     * Schedules a take-over with a delay by rank in the order of succession, so that the nodes don't all write at once.
     *
     * @param graceMillis additional delay for a holder that may still append its lease
     */
    private void scheduleTakeOver(long endOffset, long graceMillis) {
        int rank = Math.max(0, successionOrder(nodes).indexOf(self));
        Optional<LeaseRecord> observed = lease;
        long observedEra = era;
        long generation = nodes.generation();
        control.schedule(graceMillis + rank * SUCCESSION_DELAY_MILLIS, () -> {
            boolean unchanged = lease.equals(observed) && era == observedEra && nodes.generation() == generation;
            boolean vacant = holderLeft() || lease.map(LeaseRecord::era).orElse(0L) < era;
            if (unchanged && vacant && membershipValid.getAsBoolean()) {
                append(endOffset);
            }
        });
    }

    /** Appends a lease of this node, which takes it over, or writes it again in a new era. */
    private void append(long endOffset) {
        long expectedEra = era;
        long sentNanos = clock.nanos();
        long lastToken =
                Math.max(era << ERA_SHIFT, lease.map(LeaseRecord::token).orElse(0L));
        LeaseRecord next = new LeaseRecord(self.memberName(), lastToken + 1);
        topic.appendAt(KEY, next.encode(), endOffset)
                .whenComplete((result, failure) -> control.execute(() -> {
                    boolean appended =
                            failure == null && result.appended() && result.era() == expectedEra && era == expectedEra;
                    if (!appended) {
                        log.info(
                                "event=claim_not_taken token={} cause={}",
                                next.token(),
                                failure != null
                                        ? failure.toString()
                                        : result.appended()
                                                ? "the store came back from a copy"
                                                : "another node was first");
                        read();
                        return;
                    }
                    outdated = false;
                    updateLease(Optional.of(next));
                    everRead = true;
                    lastReadNanos = sentNanos;
                }));
    }

    private long millisSince(long nanos) {
        return (clock.nanos() - nanos) / 1_000_000;
    }
}
