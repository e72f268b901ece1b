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
 * Decides when a starting node knows enough to serve: it has read the log to the end that the log had after the node's
 * start, or, with the log down, it has the state of peers. Once open it stays open. Belongs to the control thread.
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
     * Creates a closed gate. To be created before the first read of the log is sent.
     *
     * @param singlePeerWaitMillis time after which one peer is enough if no other one exists; 10 s in production
     */
    public ReadinessGate(MonotonicClock clock, long singlePeerWaitMillis) {
        this.clock = clock;
        this.singlePeerWaitMillis = singlePeerWaitMillis;
        this.startedAtMillis = clock.millis();
    }

    /** A read of the log was answered and applied. The first answer sets the end that must be reached. */
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

    /** A read of the log failed. */
    public void onLogReadFailed(String cause) {
        logProblem = "log unavailable (" + cause + ")";
        update();
    }

    /** Records that this node needs were dropped from the log. */
    public void onLogGap(long oldestOffset, long neededOffset) {
        logProblem = "log gap: oldest kept record " + oldestOffset + ", need " + neededOffset;
        update();
    }

    /** The state was applied through an offset. */
    public void onApplied(long newThroughOffset) {
        throughOffset = Math.max(throughOffset, newThroughOffset);
        update();
    }

    /** A peer gave its state. The caller has installed that state if it was further than this node's. */
    public void onPeerState(PeerState peer) {
        peerStates.put(peer.node(), peer);
        update();
    }

    /** The VM list was read; it names these nodes beside this one. */
    public void onVmList(Collection<String> otherNodes) {
        otherNodesOnVmList = Optional.of(List.copyOf(otherNodes));
        update();
    }

    /** Returns the time since this node last read the log to its end, which it tells peers; empty before the first. */
    public OptionalLong logEndReadAgoMillis() {
        return endReadAtMillis.isEmpty()
                ? endReadAtMillis
                : OptionalLong.of(clock.millis() - endReadAtMillis.getAsLong());
    }

    /** Returns whether the node may serve. To be called now and then, since time alone may open the gate. */
    public boolean isOpen() {
        update();
        return open;
    }

    /** Returns what the node waits for; a text for {@code /readyz}. */
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
     * The state that a peer gave.
     *
     * @param throughOffset last offset that the peer applied
     * @param logEndReadAgoMillis time since the peer last read the log to its end, measured by the peer's clock
     */
    public record PeerState(String node, String failureDomain, long throughOffset, long logEndReadAgoMillis) {}
}
