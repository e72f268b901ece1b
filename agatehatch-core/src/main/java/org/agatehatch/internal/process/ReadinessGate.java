package org.agatehatch.internal.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Decides when a starting node is ready to serve: it has applied the log up to the end offset of its first read, or,
 * while the log is unavailable, it has installed the state of enough peers. Once open, the gate stays open. Confined to
 * the control thread.
 */
public final class ReadinessGate {
    private static final int FAILURE_DOMAINS_NEEDED = 2;

    private final MonotonicClock clock;
    private final long singlePeerWaitMillis;
    private final long startedAtMillis;
    private final Map<String, PeerState> peerStates = new LinkedHashMap<>();
    private Optional<Collection<String>> otherNodesOnVmList = Optional.empty();
    private long throughOffset = -1;
    private long endOffsetAtStart = -1;
    private OptionalLong endReadAtMillis = OptionalLong.empty();
    private String logProblem = "";
    private boolean open;

    /**
     * Creates a closed gate. Must be created before the first read of the log is sent.
     *
     * @param singlePeerWaitMillis time after which one peer is enough if the VM list shows no other one; 10 s in
     *     production
     */
    public ReadinessGate(MonotonicClock clock, long singlePeerWaitMillis) {
        this.clock = clock;
        this.singlePeerWaitMillis = singlePeerWaitMillis;
        this.startedAtMillis = clock.millis();
    }

    /** Called after the result of a log read was applied. The first one sets the end offset that must be reached. */
    public void onLogRead(long endOffset) {
        logProblem = "";
        if (endOffsetAtStart < 0) {
            endOffsetAtStart = endOffset;
        }
        if (throughOffset >= endOffset - 1) {
            endReadAtMillis = OptionalLong.of(clock.millis());
        }
        update();
    }

    /** Called after a read of the log failed. */
    public void onLogReadFailed(String cause) {
        logProblem = "log unavailable (" + cause + ")";
        update();
    }

    /** Called if records that this node still needs have been dropped from the log. */
    public void onLogGap(long oldestOffset, long neededOffset) {
        logProblem = "log gap: oldest kept record " + oldestOffset + ", need " + neededOffset;
        update();
    }

    /** Called after records through an offset were applied. */
    public void onApplied(long newThroughOffset) {
        throughOffset = Math.max(throughOffset, newThroughOffset);
        update();
    }

    /** Called after a peer sent its state, which the caller has installed if its offset was higher than this node's. */
    public void onPeerState(PeerState peer) {
        peerStates.put(peer.node(), peer);
        update();
    }

    /** Called after the VM list was read, with the other nodes that it lists. */
    public void onVmList(Collection<String> otherNodes) {
        otherNodesOnVmList = Optional.of(List.copyOf(otherNodes));
        update();
    }

    /**
     * Returns the time since this node last read the log to its end, which it reports to peers; empty if it never did.
     */
    public OptionalLong logEndReadAgoMillis() {
        return endReadAtMillis.isEmpty()
                ? endReadAtMillis
                : OptionalLong.of(clock.millis() - endReadAtMillis.getAsLong());
    }

    /** Returns whether the node may serve. Must be polled, since the passing of time alone may open the gate. */
    public boolean isOpen() {
        update();
        return open;
    }

    /** Returns what the node is waiting for, as shown by {@code /readyz}. */
    public String reason() {
        if (isOpen()) {
            return "ready: state through offset " + throughOffset;
        }
        if (logProblem.isEmpty()) {
            return endOffsetAtStart < 0
                    ? "waiting for the first answer of the log"
                    : "reading the log: applied through " + throughOffset + ", the log's end was " + endOffsetAtStart
                            + " at start";
        }
        return logProblem + "; waiting for " + peerReason();
    }

    private String peerReason() {
        long domains = peerStates.values().stream()
                .map(PeerState::failureDomain)
                .distinct()
                .count();
        String freshest = peerStates.values().stream()
                .min(Comparator.comparingLong(PeerState::logEndReadAgoMillis))
                .map(peer -> ", the freshest read the log's end " + peer.logEndReadAgoMillis() + " ms ago")
                .orElse("");
        return "the state of 2 peers in different failure domains, have " + peerStates.size() + " in " + domains
                + freshest;
    }

    private void update() {
        if (!open) {
            open = logReadToEndAtStart() || (!logProblem.isEmpty() && peerStatesSuffice());
        }
    }

    private boolean logReadToEndAtStart() {
        return endOffsetAtStart >= 0 && throughOffset >= endOffsetAtStart - 1;
    }

    private boolean peerStatesSuffice() {
        long furthest = peerStates.values().stream()
                .mapToLong(PeerState::throughOffset)
                .max()
                .orElse(Long.MAX_VALUE);
        if (throughOffset < furthest) {
            return false;
        }
        long domains = peerStates.values().stream()
                .map(PeerState::failureDomain)
                .distinct()
                .count();
        return domains >= FAILURE_DOMAINS_NEEDED || isOnlyPeer();
    }

    private boolean isOnlyPeer() {
        return peerStates.size() == 1
                && clock.millis() - startedAtMillis >= singlePeerWaitMillis
                && otherNodesOnVmList.isPresent()
                && peerStates.keySet().containsAll(otherNodesOnVmList.get());
    }

    /**
     * Summary of the state that a peer sent.
     *
     * @param throughOffset last offset that the peer applied
     * @param logEndReadAgoMillis time since the peer last read the log to its end, measured by the peer's clock
     */
    public record PeerState(String node, String failureDomain, long throughOffset, long logEndReadAgoMillis) {}
}
