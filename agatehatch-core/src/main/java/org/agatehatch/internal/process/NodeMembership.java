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
 * This node's membership in the group of nodes. The owners of the partitions, which are the members, are read only when the
 * group's generation has changed. Runs on the control thread.
 */
public final class NodeMembership {
    private static final Logger log = LoggerFactory.getLogger(NodeMembership.class);

    private final NodeIdentity self;
    private final NodeGroup group;
    private final MembershipSettings settings;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Consumer<NodeView> publisher;
    private NodeGroup.Assignment standing = new NodeGroup.Assignment(0, Set.of());
    private NodeView view = NodeView.EMPTY;
    private final Set<String> droppedMembers = new HashSet<>();
    private long ownersGeneration = -1;
    private boolean readingOwners;
    private long renewalSentNanos;
    private boolean renewedOnce;
    private int failuresInRow;
    private boolean leaving;

    public NodeMembership(
            NodeIdentity self,
            NodeGroup group,
            MembershipSettings settings,
            ControlThread control,
            MonotonicClock clock,
            RandomGenerator random,
            Consumer<NodeView> publisher) {
        this.self = self;
        this.group = group;
        this.settings = settings;
        this.control = control;
        this.clock = clock;
        this.random = random;
        this.publisher = publisher;
    }

    /** Joins the group. */
    public void start() {
        publish(new NodeView(List.of(self), 0));
        renew();
    }

    /** Leaves the group; other nodes then no longer name this one to callers. */
    public CompletionStage<Void> leave() {
        leaving = true;
        return group.leave(self.memberName());
    }

    /** Returns whether the last renewal is young enough that no other node can count this one as gone. */
    public boolean valid() {
        long ageMillis = (clock.nanos() - renewalSentNanos) / 1_000_000;
        return renewedOnce && !leaving && ageMillis < settings.timeToLiveMillis() - settings.marginMillis();
    }

    private void renew() {
        if (leaving) {
            return;
        }
        long sentNanos = clock.nanos();
        group.renew(self.memberName(), standing.generation())
                .whenComplete((renewed, failure) -> control.execute(() -> onRenewed(sentNanos, renewed, failure)));
    }

    private void onRenewed(long sentNanos, NodeGroup.Assignment renewed, Throwable failure) {
        if (leaving) {
            return;
        }
        if (failure != null) {
            failuresInRow++;
            if (failuresInRow == 1) {
                log.warn("event=dependency_lost dependency=store/group cause={}", failure.toString());
            }
            control.schedule(Backoff.millis(failuresInRow, 100, settings.renewMillis(), random), this::renew);
            return;
        }
        if (failuresInRow > 0) {
            log.info("event=dependency_regained dependency=store/group failures={}", failuresInRow);
        }
        failuresInRow = 0;
        renewalSentNanos = sentNanos;
        renewedOnce = true;
        standing = renewed;
        if (renewed.generation() != ownersGeneration) {
            readOwners(renewed.generation());
        }
        control.schedule(settings.renewMillis() - random.nextLong(settings.renewMillis() / 5 + 1), this::renew);
    }

    private void readOwners(long generation) {
        if (readingOwners) {
            return;
        }
        readingOwners = true;
        group.owners()
                .whenComplete((owners, failure) -> control.execute(() -> {
                    readingOwners = false;
                    if (failure != null) {
                        // The next renewal asks again, because the generation that was read stays behind.
                        log.warn("event=owners_not_read generation={} cause={}", generation, failure.toString());
                        return;
                    }
                    ownersGeneration = generation;
                    publish(viewOf(owners, generation));
                }));
    }

    private NodeView viewOf(List<NodeGroup.Ownership> owners, long generation) {
        Map<String, NodeIdentity> byName = new LinkedHashMap<>();
        for (NodeGroup.Ownership ownership : owners) {
            Optional<NodeIdentity> node = NodeIdentity.parse(ownership.member());
            if (node.isEmpty()) {
                continue;
            }
            if (isEarlierSelf(node.get())) {
                dropEarlierSelf(ownership.member());
                continue;
            }
            byName.put(node.get().name(), node.get());
        }
        byName.put(self.name(), self);
        return new NodeView(new ArrayList<>(byName.values()), generation);
    }

    private boolean isEarlierSelf(NodeIdentity node) {
        return node.name().equals(self.name()) && !node.incarnation().equals(self.incarnation());
    }

    /** A process that ended without leaving would keep its partitions until they expire. */
    private void dropEarlierSelf(String member) {
        if (!droppedMembers.add(member)) {
            return;
        }
        group.leave(member)
                .whenComplete((done, failure) ->
                        log.info("event=earlier_process_dropped member={} done={}", member, failure == null));
    }

    private void publish(NodeView next) {
        if (!next.nodes().equals(view.nodes())) {
            log.info(
                    "event=nodes_changed generation={} nodes={}",
                    next.generation(),
                    next.nodes().stream().map(NodeIdentity::name).toList());
        }
        view = next;
        publisher.accept(next);
    }
}
