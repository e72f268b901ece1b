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
 * Notices that the node which gives orders no longer answers, sooner than its membership ends. Nodes whose reports are not
 * answered tell the next ones in line; once most nodes agree, the first of these replaces it. One node that is cut off from
 * the others changes nothing. Runs on the control thread.
 */
public final class HolderWatch {
    /** Reports in a row without an answer; fewer may be lost or late on a busy machine. */
    private static final int FAILURES_TO_TELL = 4;

    /** Nodes that are told; the second one acts if the first does not. */
    private static final int NODES_TOLD = 2;

    /** Time that the first one has before the second one acts: a read and a write of the store. */
    private static final long NEXT_IN_LINE_MILLIS = 400;

    private static final Logger log = LoggerFactory.getLogger(HolderWatch.class);

    private record Silence(String holder, long atMillis) {}

    private final NodeIdentity self;
    private final Supplier<NodeView> nodes;
    private final Supplier<Optional<NodeIdentity>> holder;
    private final Consumer<NodeIdentity> replace;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final Map<String, Silence> silences = new HashMap<>();
    private String reportedTo = "";
    private int failures;
    private boolean replacing;

    /**
     * Creates a watch that has noticed nothing.
     *
     * @param holder the node that gives orders, as far as known
     * @param replace takes over from a node that most nodes can't reach
     */
    public HolderWatch(
            NodeIdentity self,
            Supplier<NodeView> nodes,
            Supplier<Optional<NodeIdentity>> holder,
            Consumer<NodeIdentity> replace,
            ControlThread control,
            MonotonicClock clock) {
        this.self = self;
        this.nodes = nodes;
        this.holder = holder;
        this.replace = replace;
        this.control = control;
        this.clock = clock;
    }

    /** Notes whether a report was answered, and returns the nodes that are to be told that the holder is silent. */
    public List<NodeIdentity> reported(NodeIdentity to, boolean answered) {
        if (!reportedTo.equals(to.memberName()) || answered) {
            failures = 0;
        }
        reportedTo = to.memberName();
        if (!answered) {
            failures++;
        }
        return failures < FAILURES_TO_TELL ? List.of() : nextInLine(to);
    }

    /** Takes a node's word that a holder does not answer it. */
    public void onSilent(String node, String silentHolder) {
        long nowMillis = clock.millis();
        silences.put(node, new Silence(silentHolder, nowMillis));
        if (!replacing && mostAgreeOn(silentHolder)) {
            replacing = true;
            int rank = Math.max(
                    0, holder.get().map(this::nextInLine).orElse(List.of()).indexOf(self));
            control.schedule(rank * NEXT_IN_LINE_MILLIS, () -> replaceIfStill(silentHolder));
        }
    }

    private void replaceIfStill(String silentHolder) {
        replacing = false;
        Optional<NodeIdentity> present = holder.get();
        if (present.isPresent() && present.get().memberName().equals(silentHolder) && mostAgreeOn(silentHolder)) {
            log.info("event=holder_silent holder={} nodes={}", silentHolder, silences.keySet());
            replace.accept(present.get());
        }
    }

    private boolean mostAgreeOn(String silentHolder) {
        int count = nodes.get().nodes().size();
        long oldestMillis = clock.millis() - ReportPace.silentMillis(count);
        silences.values().removeIf(silence -> silence.atMillis < oldestMillis);
        long agreeing = silences.values().stream()
                .filter(silence -> silence.holder.equals(silentHolder))
                .count();
        return 2 * agreeing > count;
    }

    private List<NodeIdentity> nextInLine(NodeIdentity present) {
        return PlacementClaim.succession(nodes.get()).stream()
                .filter(node -> !node.name().equals(present.name()))
                .limit(NODES_TOLD)
                .toList();
    }
}
