package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that the placement holder does not answer before its group membership expires. A node whose reports stay
 * unanswered sends its suspicion to the next nodes in the order of succession. Once a majority of the nodes suspects the
 * holder, the first successor takes the lease over, so one node that is cut off from the others has no effect. Runs on the
 * control thread.
 */
public final class HolderFailureDetector {
    /** Consecutive unanswered reports before a node suspects the holder; fewer may be lost or late on a busy machine. */
    private static final int SUSPICION_THRESHOLD = 4;

    /** Successors that receive a suspicion; the second one acts if the first does not. */
    private static final int NOTIFIED_SUCCESSORS = 2;

    /** Time that the first successor has before the second one acts: enough for a read and a write of the store. */
    private static final long SUCCESSOR_DELAY_MILLIS = 400;

    private static final Logger log = LoggerFactory.getLogger(HolderFailureDetector.class);

    private record Suspicion(String holder, long atMillis) {}

    private final NodeIdentity self;
    private final Supplier<NodeView> nodes;
    private final Supplier<Optional<NodeIdentity>> holder;
    private final Consumer<NodeIdentity> takeOverFrom;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final Map<String, Suspicion> suspicionByNode = new HashMap<>();
    private String lastReportedTo = "";
    private int consecutiveFailures;
    private boolean replacementScheduled;

    /**
     * Creates a detector without suspicions.
     *
     * @param holder the placement holder, if this node knows it
     * @param takeOverFrom takes the placement lease over from a holder that a majority of the nodes suspects
     */
    public HolderFailureDetector(
            NodeIdentity self,
            Supplier<NodeView> nodes,
            Supplier<Optional<NodeIdentity>> holder,
            Consumer<NodeIdentity> takeOverFrom,
            ControlThread control,
            MonotonicClock clock) {
        this.self = self;
        this.nodes = nodes;
        this.holder = holder;
        this.takeOverFrom = takeOverFrom;
        this.control = control;
        this.clock = clock;
    }

    /** Records whether the holder answered a report, and returns the nodes to which this node must send its suspicion. */
    public List<NodeIdentity> recordReportResult(NodeIdentity recipient, boolean answered) {
        if (!lastReportedTo.equals(recipient.memberName()) || answered) {
            consecutiveFailures = 0;
        }
        lastReportedTo = recipient.memberName();
        if (!answered) {
            consecutiveFailures++;
        }
        return consecutiveFailures < SUSPICION_THRESHOLD ? List.of() : successorsOf(recipient);
    }

    /** Records another node's suspicion that the holder has failed. */
    public void onSuspicion(String node, String suspectedHolder) {
        long nowMillis = clock.millis();
        suspicionByNode.put(node, new Suspicion(suspectedHolder, nowMillis));
        if (!replacementScheduled && majoritySuspects(suspectedHolder)) {
            replacementScheduled = true;
            int rank = Math.max(
                    0, holder.get().map(this::successorsOf).orElse(List.of()).indexOf(self));
            control.schedule(rank * SUCCESSOR_DELAY_MILLIS, () -> replaceIfStillSuspected(suspectedHolder));
        }
    }

    private void replaceIfStillSuspected(String suspectedHolder) {
        replacementScheduled = false;
        Optional<NodeIdentity> current = holder.get();
        if (current.isPresent()
                && current.get().memberName().equals(suspectedHolder)
                && majoritySuspects(suspectedHolder)) {
            log.info("event=holder_silent holder={} nodes={}", suspectedHolder, suspicionByNode.keySet());
            takeOverFrom.accept(current.get());
        }
    }

    private boolean majoritySuspects(String suspectedHolder) {
        int count = nodes.get().nodes().size();
        long cutoffMillis = clock.millis() - ReportIntervals.staleAfterMillis(count);
        suspicionByNode.values().removeIf(suspicion -> suspicion.atMillis < cutoffMillis);
        long agreeing = suspicionByNode.values().stream()
                .filter(suspicion -> suspicion.holder.equals(suspectedHolder))
                .count();
        return 2 * agreeing > count;
    }

    private List<NodeIdentity> successorsOf(NodeIdentity current) {
        return PlacementLease.successionOrder(nodes.get()).stream()
                .filter(node -> !node.name().equals(current.name()))
                .limit(NOTIFIED_SUCCESSORS)
                .toList();
    }
}
