package org.agatehatch.internal.process;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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

    private static final String KEY = "placement";
    private static final Logger log = LoggerFactory.getLogger(PlacementLease.class);

    /**
     * The lease as it is stored.
     *
     * @param member the holder's member name
     * @param token fencing token; increases with each take-over
     */
    record LeaseRecord(String member, long token) {
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
    private long lastReadNanos;
    private long actFromNanos;
    private boolean readInFlight;
    private boolean membershipChangedSinceRead;
    private boolean everRead;
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
        if (view.generation() > 0 && (lease.isEmpty() || holderLeft())) {
            read();
        } else {
            // The next check reads the lease, so that many membership changes in a short time cost one read.
            membershipChangedSinceRead = true;
        }
    }

    /** Reads the lease again, because the node that was assumed to hold it does not. */
    public void onHolderMismatch() {
        read();
    }

    /** Returns this node's present grant to send orders; empty if it has none. */
    public Optional<PlacementGrant> currentGrant() {
        if (!isHolder() || clock.nanos() - actFromNanos < 0) {
            return Optional.empty();
        }
        boolean recent = everRead && millisSince(lastReadNanos) < MAX_CHECK_AGE_MILLIS;
        boolean confirmed = recent && membershipValid.getAsBoolean();
        boolean unconfirmed = runnersCheckTokens && readFailing;
        return confirmed || unconfirmed
                ? Optional.of(new PlacementGrant(lease.orElseThrow().token(), confirmed))
                : Optional.empty();
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
                    if (stillHolds && membershipValid.getAsBoolean()) {
                        takeOver(snapshot.endOffset());
                    }
                }));
    }

    private void check() {
        // A node that is not the holder reads only after a membership change, or while the known holder is not in the
        // group.
        if (isHolder() || holderLeft() || membershipChangedSinceRead) {
            read();
        }
        control.schedule(CHECK_INTERVAL_MILLIS, this::check);
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
        membershipChangedSinceRead = false;
        long requestedNanos = clock.nanos();
        topic.snapshot()
                .whenComplete((snapshot, failure) -> control.execute(() -> {
                    readInFlight = false;
                    readFailing = failure != null;
                    if (failure != null) {
                        log.info("event=claim_not_read cause={}", failure.toString());
                        return;
                    }
                    onRead(snapshot, requestedNanos);
                }));
    }

    private void onRead(KeyedTopic.Snapshot snapshot, long requestedNanos) {
        Optional<LeaseRecord> found = snapshot.entries().stream()
                .filter(entry -> entry.key().equals(KEY))
                .findFirst()
                .flatMap(KeyedTopic.Entry::value)
                .flatMap(LeaseRecord::decode);
        long foundToken = found.map(LeaseRecord::token).orElse(0L);
        if (foundToken < lease.map(LeaseRecord::token).orElse(0L)) {
            // The read is stale, because tokens only increase.
            return;
        }
        everRead = true;
        lastReadNanos = requestedNanos;
        updateLease(found);
        if (holderLeft() && membershipValid.getAsBoolean()) {
            scheduleTakeOver(snapshot.endOffset(), nodes.generation());
        }
    }

    private void updateLease(Optional<LeaseRecord> found) {
        if (found.equals(lease)) {
            return;
        }
        lease = found;
        log.info(
                "event=placement_holder holder={} token={} own={}",
                found.map(LeaseRecord::member).orElse("none"),
                found.map(LeaseRecord::token).orElse(0L),
                isHolder());
        publisher.accept(found.flatMap(present -> NodeIdentity.parse(present.member())));
    }

    /** Schedules a take-over with a delay by rank in the order of succession, so that the nodes don't all write at once. */
    private void scheduleTakeOver(long endOffset, long generation) {
        int rank = Math.max(0, successionOrder(nodes).indexOf(self));
        Optional<LeaseRecord> observed = lease;
        control.schedule(rank * SUCCESSION_DELAY_MILLIS, () -> {
            boolean unchanged = lease.equals(observed) && nodes.generation() == generation;
            if (unchanged && holderLeft() && membershipValid.getAsBoolean()) {
                takeOver(endOffset);
            }
        });
    }

    private void takeOver(long endOffset) {
        LeaseRecord next =
                new LeaseRecord(self.memberName(), lease.map(LeaseRecord::token).orElse(0L) + 1);
        topic.appendAt(KEY, next.encode(), endOffset)
                .whenComplete((result, failure) -> control.execute(() -> {
                    if (failure != null || !result.appended()) {
                        log.info(
                                "event=claim_not_taken token={} cause={}",
                                next.token(),
                                failure == null ? "another node was first" : failure.toString());
                        read();
                        return;
                    }
                    actFromNanos = clock.nanos() + TAKEOVER_WAIT_MILLIS * 1_000_000;
                    updateLease(Optional.of(next));
                }));
    }

    private long millisSince(long nanos) {
        return (clock.nanos() - nanos) / 1_000_000;
    }
}
