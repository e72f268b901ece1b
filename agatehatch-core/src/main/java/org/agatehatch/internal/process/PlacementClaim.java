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
 * The right to give orders to runners, as a record in the store that names its holder and a fencing token. It stays with
 * its holder while that node is in the group; then another node replaces the record, on condition that nobody else has.
 * Runs on the control thread.
 *
 * <p>The holder has a confirmed right while its membership is young enough and it has read its own claim a short time ago. A
 * new holder waits longer than that before it acts. While the holder's calls to the store fail, nobody can replace the record
 * if the store is down, and the holder alone is cut off if it is not; it then keeps an unconfirmed right where runners refuse
 * tokens that are behind.
 */
public final class PlacementClaim {
    /** Pause between the holder's looks at its claim. */
    static final long CHECK_MILLIS = 600;

    /** Age of the last look beyond which the holder no longer acts. */
    static final long MAX_CHECK_AGE_MILLIS = 1_200;

    /** Time for which a node that took the claim over waits before it acts. */
    static final long TAKEOVER_WAIT_MILLIS = 1_300;

    /** Pause before the next node in line tries to take the claim over. */
    static final long RANK_PAUSE_MILLIS = 250;

    private static final String KEY = "placement";
    private static final Logger log = LoggerFactory.getLogger(PlacementClaim.class);

    /**
     * The record.
     *
     * @param member the holder's member name
     * @param token rises with each holder
     */
    record Claim(String member, long token) {
        byte[] encode() {
            return (token + " " + member).getBytes(StandardCharsets.UTF_8);
        }

        static Optional<Claim> decode(byte[] bytes) {
            String[] fields = new String(bytes, StandardCharsets.UTF_8).split(" ", 2);
            try {
                return fields.length == 2
                        ? Optional.of(new Claim(fields[1], Long.parseLong(fields[0])))
                        : Optional.empty();
            } catch (NumberFormatException e) {
                return Optional.empty();
            }
        }
    }

    private final NodeIdentity self;
    private final KeyedTopic topic;
    private final BooleanSupplier memberValid;
    private final boolean runnersCheckTokens;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final Consumer<Optional<NodeIdentity>> publisher;
    private NodeView nodes = NodeView.EMPTY;
    private Optional<Claim> claim = Optional.empty();
    private long checkedNanos;
    private long actFromNanos;
    private boolean reading;
    private boolean changedSinceRead;
    private boolean everChecked;
    private boolean failing;

    /**
     * Creates a claim that is not known yet.
     *
     * @param memberValid whether no other node can count this one as gone
     * @param runnersCheckTokens whether runners refuse orders with a token below one that they have seen
     * @param publisher told of the holder whenever it changes
     */
    public PlacementClaim(
            NodeIdentity self,
            KeyedTopic topic,
            BooleanSupplier memberValid,
            boolean runnersCheckTokens,
            ControlThread control,
            MonotonicClock clock,
            Consumer<Optional<NodeIdentity>> publisher) {
        this.self = self;
        this.topic = topic;
        this.memberValid = memberValid;
        this.runnersCheckTokens = runnersCheckTokens;
        this.control = control;
        this.clock = clock;
        this.publisher = publisher;
    }

    /** Starts to look after the claim. */
    public void start() {
        control.schedule(CHECK_MILLIS, this::check);
    }

    /** Takes over a changed view of the nodes. */
    public void onNodes(NodeView view) {
        nodes = view;
        if (view.generation() > 0 && (claim.isEmpty() || holderGone())) {
            read();
        } else {
            // Many nodes that come and go at once cost one read, at the next look.
            changedSinceRead = true;
        }
    }

    /** Reads the claim again, because the node that was thought to hold it does not. */
    public void onWrongHolder() {
        read();
    }

    /** Returns the right to give orders now; nothing if this node has none. */
    public Optional<PlacementRight> right() {
        if (!isOwn() || clock.nanos() - actFromNanos < 0) {
            return Optional.empty();
        }
        boolean recent = everChecked && millisSince(checkedNanos) < MAX_CHECK_AGE_MILLIS;
        boolean confirmed = recent && memberValid.getAsBoolean();
        boolean unconfirmed = runnersCheckTokens && failing;
        return confirmed || unconfirmed
                ? Optional.of(new PlacementRight(claim.orElseThrow().token(), confirmed))
                : Optional.empty();
    }

    /** Returns the order in which nodes take the claim over: those with the most processor time first. */
    static List<NodeIdentity> succession(NodeView view) {
        return view.nodes().stream()
                .sorted(Comparator.comparingInt(NodeIdentity::capacityPercent)
                        .reversed()
                        .thenComparing(NodeIdentity::memberName))
                .toList();
    }

    /**
     * Takes the claim over from a node that is still in the group but does not answer. It finds that out when it reads its
     * claim, which it does more often than this node waits before it acts.
     */
    public void replace(NodeIdentity silent) {
        long askedNanos = clock.nanos();
        topic.snapshot()
                .whenComplete((snapshot, failure) -> control.execute(() -> {
                    if (failure != null) {
                        log.info("event=claim_not_read cause={}", failure.toString());
                        return;
                    }
                    onRead(snapshot, askedNanos);
                    boolean stillHolds =
                            claim.isPresent() && claim.get().member().equals(silent.memberName());
                    if (stillHolds && memberValid.getAsBoolean()) {
                        takeOver(snapshot.endOffset());
                    }
                }));
    }

    private void check() {
        // Other nodes read only when the group changes; a holder that left without a change is found here.
        if (isOwn() || holderGone() || changedSinceRead) {
            read();
        }
        control.schedule(CHECK_MILLIS, this::check);
    }

    private boolean isOwn() {
        return claim.isPresent() && claim.get().member().equals(self.memberName());
    }

    private boolean holderGone() {
        return nodes.generation() > 0 && claim.flatMap(this::holderAmongNodes).isEmpty();
    }

    private Optional<NodeIdentity> holderAmongNodes(Claim present) {
        return nodes.nodes().stream()
                .filter(node -> node.memberName().equals(present.member()))
                .findFirst();
    }

    private void read() {
        if (reading) {
            return;
        }
        reading = true;
        changedSinceRead = false;
        long askedNanos = clock.nanos();
        topic.snapshot()
                .whenComplete((snapshot, failure) -> control.execute(() -> {
                    reading = false;
                    failing = failure != null;
                    if (failure != null) {
                        log.info("event=claim_not_read cause={}", failure.toString());
                        return;
                    }
                    onRead(snapshot, askedNanos);
                }));
    }

    private void onRead(KeyedTopic.Snapshot snapshot, long askedNanos) {
        Optional<Claim> found = snapshot.entries().stream()
                .filter(entry -> entry.key().equals(KEY))
                .findFirst()
                .flatMap(KeyedTopic.Entry::value)
                .flatMap(Claim::decode);
        long foundToken = found.map(Claim::token).orElse(0L);
        if (foundToken < claim.map(Claim::token).orElse(0L)) {
            // A stale answer; tokens only rise.
            return;
        }
        everChecked = true;
        checkedNanos = askedNanos;
        adopt(found);
        if (holderGone() && memberValid.getAsBoolean()) {
            takeOverInTurn(snapshot.endOffset(), nodes.generation());
        }
    }

    private void adopt(Optional<Claim> found) {
        if (found.equals(claim)) {
            return;
        }
        claim = found;
        log.info(
                "event=placement_holder holder={} token={} own={}",
                found.map(Claim::member).orElse("none"),
                found.map(Claim::token).orElse(0L),
                isOwn());
        publisher.accept(found.flatMap(present -> NodeIdentity.parse(present.member())));
    }

    /** The nodes try one after the other, those with the most processor time first, so that they don't all write at once. */
    private void takeOverInTurn(long endOffset, long generation) {
        int rank = Math.max(0, succession(nodes).indexOf(self));
        Optional<Claim> seen = claim;
        control.schedule(rank * RANK_PAUSE_MILLIS, () -> {
            boolean unchanged = claim.equals(seen) && nodes.generation() == generation;
            if (unchanged && holderGone() && memberValid.getAsBoolean()) {
                takeOver(endOffset);
            }
        });
    }

    private void takeOver(long endOffset) {
        Claim next = new Claim(self.memberName(), claim.map(Claim::token).orElse(0L) + 1);
        topic.appendAt(KEY, next.encode(), endOffset)
                .whenComplete((done, failure) -> control.execute(() -> {
                    if (failure != null || !done) {
                        log.info(
                                "event=claim_not_taken token={} cause={}",
                                next.token(),
                                failure == null ? "another node was first" : failure.toString());
                        read();
                        return;
                    }
                    actFromNanos = clock.nanos() + TAKEOVER_WAIT_MILLIS * 1_000_000;
                    adopt(Optional.of(next));
                }));
    }

    private long millisSince(long nanos) {
        return (clock.nanos() - nanos) / 1_000_000;
    }
}
