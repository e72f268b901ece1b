package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.agatehatch.api.fleet.NodeGroup;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this node a member of the platform's group by periodic renewals and publishes the members as a {@link NodeView}.
 * The members are the owners of the group's partitions; they are read only when the group's generation has changed, or the store
 * has come back from an older copy. Runs on the control thread.
 *
 * <p>Such a copy lacks the nodes that joined since and still lists those that left. Until all nodes must have renewed their
 * membership, the nodes known before the restore stay listed, and those known to have left do not come back.
 */
public final class NodeMembership {
    private static final Logger log = LoggerFactory.getLogger(NodeMembership.class);

    /** Time for which nodes that left are remembered, longer than a copy of the store is old. */
    private static final long LEAVE_MEMORY_MILLIS = 60_000;

    private final NodeIdentity self;
    private final NodeGroup group;
    private final MembershipSettings settings;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Consumer<NodeView> viewListener;
    private NodeGroup.Assignment standing = new NodeGroup.Assignment(0, Set.of(), 0);
    private NodeView view = NodeView.EMPTY;
    private final Set<String> removedMembers = new HashSet<>();
    private NodeView viewBeforeRestore = NodeView.EMPTY;
    private final Set<String> leftBeforeRestore = new HashSet<>();
    private final Map<String, Long> leftMillisByMember = new LinkedHashMap<>();
    private int restoresInGrace;
    private long ownersGeneration = -1;
    private boolean ownersReadInFlight;
    private long renewalSentNanos;
    private boolean everRenewed;
    private int consecutiveFailures;
    private boolean leaving;

    public NodeMembership(
            NodeIdentity self,
            NodeGroup group,
            MembershipSettings settings,
            ControlThread control,
            MonotonicClock clock,
            RandomGenerator random,
            Consumer<NodeView> viewListener) {
        this.self = self;
        this.group = group;
        this.settings = settings;
        this.control = control;
        this.clock = clock;
        this.random = random;
        this.viewListener = viewListener;
    }

    /** Publishes a view with only this node, joins the group and starts the renewals. */
    public void start() {
        publish(new NodeView(List.of(self), 0));
        renew();
    }

    /** Leaves the group and stops the renewals, so that other nodes no longer return this node to callers. */
    public CompletionStage<Void> leave() {
        leaving = true;
        return group.leave(self.memberName());
    }

    /** Returns whether the last renewal is recent enough that the group cannot have dropped this node. */
    public boolean isValid() {
        long ageMillis = (clock.nanos() - renewalSentNanos) / 1_000_000;
        return everRenewed && !leaving && ageMillis < settings.timeToLiveMillis() - settings.safetyMarginMillis();
    }

    private void renew() {
        if (leaving) {
            return;
        }
        long sentNanos = clock.nanos();
        group.renew(self.memberName(), restoresInGrace > 0 ? 0 : standing.generation())
                .whenComplete((renewed, failure) -> control.execute(() -> onRenewed(sentNanos, renewed, failure)));
    }

    private void onRenewed(long sentNanos, NodeGroup.Assignment renewed, Throwable failure) {
        if (leaving) {
            return;
        }
        if (failure != null) {
            consecutiveFailures++;
            if (consecutiveFailures == 1) {
                log.warn("event=dependency_lost dependency=store/group cause={}", failure.toString());
            }
            control.schedule(
                    Backoff.millis(consecutiveFailures, 100, settings.renewalIntervalMillis(), random), this::renew);
            return;
        }
        if (consecutiveFailures > 0) {
            log.info("event=dependency_regained dependency=store/group failures={}", consecutiveFailures);
        }
        consecutiveFailures = 0;
        renewalSentNanos = sentNanos;
        everRenewed = true;
        if (renewed.era() != standing.era() && standing.generation() > 0) {
            onNewEra();
        }
        standing = renewed;
        if (renewed.generation() != ownersGeneration) {
            readOwners(renewed.generation());
        }
        control.schedule(
                settings.renewalIntervalMillis() - random.nextLong(settings.renewalIntervalMillis() / 5 + 1),
                this::renew);
    }

    private void onNewEra() {
        log.info(
                "event=group_restored generation={} nodes={}",
                standing.generation(),
                view.nodes().size());
        ownersGeneration = -1;
        restoresInGrace++;
        viewBeforeRestore = view;
        forgetOldLeaves();
        leftBeforeRestore.addAll(leftMillisByMember.keySet());
        control.schedule(settings.timeToLiveMillis(), () -> {
            restoresInGrace--;
            if (restoresInGrace > 0) {
                return;
            }
            viewBeforeRestore = NodeView.EMPTY;
            leftBeforeRestore.clear();
            // The next renewal reads the owners again.
            ownersGeneration = -1;
        });
    }

    private void forgetOldLeaves() {
        long oldestMillis = clock.millis() - LEAVE_MEMORY_MILLIS;
        leftMillisByMember.values().removeIf(leftMillis -> leftMillis < oldestMillis);
    }

    private void readOwners(long generation) {
        if (ownersReadInFlight) {
            return;
        }
        ownersReadInFlight = true;
        group.owners()
                .whenComplete((owners, failure) -> control.execute(() -> {
                    ownersReadInFlight = false;
                    if (failure != null) {
                        // ownersGeneration is unchanged, so the next renewal reads the owners again.
                        log.warn("event=owners_not_read generation={} cause={}", generation, failure.toString());
                        return;
                    }
                    ownersGeneration = generation;
                    publish(viewOf(owners, generation));
                }));
    }

    private NodeView viewOf(List<NodeGroup.Ownership> owners, long generation) {
        Map<String, NodeIdentity> byName = new LinkedHashMap<>();
        viewBeforeRestore.nodes().forEach(node -> byName.put(node.name(), node));
        for (NodeGroup.Ownership ownership : owners) {
            Optional<NodeIdentity> node = NodeIdentity.parse(ownership.member());
            if (node.isEmpty() || leftBeforeRestore.contains(ownership.member())) {
                continue;
            }
            if (isPreviousIncarnation(node.get())) {
                removePreviousIncarnation(ownership.member());
                continue;
            }
            byName.put(node.get().name(), node.get());
        }
        byName.put(self.name(), self);
        return new NodeView(new ArrayList<>(byName.values()), generation);
    }

    private boolean isPreviousIncarnation(NodeIdentity node) {
        return node.name().equals(self.name()) && !node.incarnation().equals(self.incarnation());
    }

    /** Ends the membership of an earlier process of this node, which would otherwise keep its partitions until it expires. */
    private void removePreviousIncarnation(String member) {
        if (!removedMembers.add(member)) {
            return;
        }
        group.leave(member)
                .whenComplete((done, failure) ->
                        log.info("event=earlier_process_dropped member={} done={}", member, failure == null));
    }

    private void publish(NodeView next) {
        Set<String> listed = new HashSet<>();
        next.nodes().forEach(node -> listed.add(node.memberName()));
        leftMillisByMember.keySet().removeAll(listed);
        view.nodes().stream()
                .map(NodeIdentity::memberName)
                .filter(member -> !listed.contains(member))
                .forEach(member -> leftMillisByMember.put(member, clock.millis()));
        forgetOldLeaves();
        if (!next.nodes().equals(view.nodes())) {
            log.info(
                    "event=nodes_changed generation={} nodes={}",
                    next.generation(),
                    next.nodes().stream().map(NodeIdentity::name).toList());
        }
        view = next;
        viewListener.accept(next);
    }
}
