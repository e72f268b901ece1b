package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Knows which backend servers this node reaches itself, and which other nodes can relay a connection to the rest.
 *
 * <p>A failed connect alone says nothing of whose fault it is. The path to a server counts as cut once this node has failed twice
 * in a row to connect to it, the second time after another node had succeeded: a single failure may be a lost packet, and earlier
 * ones those of a server that has just come back. Once that holds for several servers, the failures alone are enough for the
 * others. A path counts as whole again when a connection of this node's own has been opened,
 * which is tried in the background. Not thread safe.
 */
public final class ServerPaths {
    /** Why a direct connection could not be opened. */
    public enum Failure {
        REFUSED,
        TIMED_OUT
    }

    /** Told of changes. */
    public interface Listener {
        /** Called when the path to a server is found to be cut, with the node through which it was reached last. */
        void onCut(ServerEntry server, Failure failure, Optional<NodeIdentity> relay);

        /** Called when the path to a server is found to be whole again. */
        void onRestored(ServerEntry server, long cutMillis);
    }

    /**
     * How a connection to a server is to be opened.
     *
     * @param direct whether this node connects itself
     * @param relayDelayMillis time after which a relay is asked as well, unless the direct connection is open or has failed
     * @param relays returns the nodes to ask, best first
     */
    public record Plan(boolean direct, long relayDelayMillis, Supplier<List<NodeIdentity>> relays) {}

    /** Above the time that a connect takes between failure domains, also to a busy server. */
    static final long RELAY_DELAY_MILLIS = 60;

    /** The same while the path to another server is cut, which makes a cut of this one likely. */
    static final long SUSPECT_RELAY_DELAY_MILLIS = 10;

    /** Time within which a failure of this node and a success of another one are held against each other. */
    static final long CONFIRMATION_MILLIS = 1_000;

    /** Interval at which a cut path is tried. */
    static final long CUT_PROBE_MILLIS = 500;

    /** Interval at which the paths to the other servers are tried while one is cut and there is no other evidence. */
    static final long SUSPECT_PROBE_MILLIS = 1_500;

    /** Failed connects in a row after which a path counts as cut. */
    private static final int CUT_FAILURES = 2;

    /** Cut paths from which on failures to connect to other servers are put down to this node's side. */
    private static final int CUTS_OF_A_CUT_OFF_NODE = 2;

    /** Servers without a connect that succeeded since their last failure, from which on this node doubts its own path. */
    private static final int LOST_SERVERS_IN_DOUBT = 2;

    /** Age up to which a failed connect counts in this. */
    private static final long DOUBT_MILLIS = 3_000;

    /** Time for which a relay that opened a connection is preferred. */
    private static final long PROVEN_MILLIS = 2_000;

    /** Fraction of connections for which proven relays are not preferred, so that nearer ones are found again. */
    private static final double EXPLORED_FRACTION = 0.1;

    /** Limits the probes that are begun at once in a large fleet. */
    static final int MAX_PROBES_AT_ONCE = 8;

    private static final long AVOID_CUT_MILLIS = 1_000;
    private static final long AVOID_SILENT_MILLIS = 2_000;
    private static final long AVOID_BUSY_MILLIS = 200;
    private static final long AVOID_LEAVING_MILLIS = 10_000;

    private final NodeIdentity self;
    private final Supplier<NodeView> nodes;
    private final MonotonicClock clock;
    private final Random random;
    private final Listener listener;
    private final Map<String, PathState> states = new HashMap<>();
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private final Map<String, Long> provenUntilMillis = new HashMap<>();
    private final Set<String> suspects = new HashSet<>();
    private int cutCount;

    private static final class PathState {
        private static final long NEVER = Long.MIN_VALUE / 2;

        private long openedMillis = NEVER;
        private long failedMillis = NEVER;
        private long failedBegunMillis = NEVER;
        private long relayedMillis = NEVER;
        private long probedMillis = NEVER;
        private int failuresInRow;
        private long cutSinceMillis;
        private Failure failure = Failure.TIMED_OUT;
        private NodeIdentity relay;
        private boolean cut;
    }

    /** Creates the knowledge of a node that has connected to no server. */
    public ServerPaths(
            NodeIdentity self, Supplier<NodeView> nodes, MonotonicClock clock, Random random, Listener listener) {
        this.self = self;
        this.nodes = nodes;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
    }

    /** Returns how a connection to a server is to be opened now. */
    public Plan plan(ServerEntry server) {
        if (isCut(server)) {
            return new Plan(false, 0, () -> relays(server));
        }
        long relayDelayMillis = cutCount > 0 ? SUSPECT_RELAY_DELAY_MILLIS : RELAY_DELAY_MILLIS;
        return new Plan(true, relayDelayMillis, () -> relays(server));
    }

    /** Returns how a connection is to be opened that shows whether this node, and whether another one, reaches a server. */
    public Plan planProbe(ServerEntry server) {
        boolean othersReach = isCut(server);
        return new Plan(true, SUSPECT_RELAY_DELAY_MILLIS, () -> othersReach ? List.of() : relays(server));
    }

    /** Returns whether this node is of no use as a relay to a server, one of all the given ones. */
    public boolean cannotRelay(ServerEntry server, Collection<ServerEntry> servers) {
        return isCut(server) || isCutOffFromMost(servers);
    }

    /** Returns what this node answers as a relay when it could not connect to a server. */
    public RelayMessages.Outcome failedRelayOutcome(Failure failure) {
        if (doubtsOwnPath()) {
            return RelayMessages.Outcome.CUT_OFF;
        }
        return failure == Failure.REFUSED ? RelayMessages.Outcome.REFUSED : RelayMessages.Outcome.TIMED_OUT;
    }

    /** Returns whether this node's own path to a server is known to be cut. */
    public boolean isCut(ServerEntry server) {
        PathState state = states.get(server.processKey());
        return state != null && state.cut;
    }

    /**
     * Returns whether open connections to a server can be relied on: not if its packets vanish, and not if those of another server
     * do and this one has not been reached since.
     */
    public boolean trustsOpenConnections(ServerEntry server) {
        PathState own = states.get(server.processKey());
        if (own != null && own.cut) {
            return own.failure == Failure.REFUSED;
        }
        if (cutCount == 0) {
            return true;
        }
        long openedMillis = own == null ? PathState.NEVER : own.openedMillis;
        return states.values().stream()
                .noneMatch(state ->
                        state.cut && state.failure == Failure.TIMED_OUT && state.cutSinceMillis > openedMillis);
    }

    /** Returns whether this node is cut off from more than half of the given servers. */
    public boolean isCutOffFromMost(Collection<ServerEntry> servers) {
        long cut = cutCount == 0 ? 0 : servers.stream().filter(this::isCut).count();
        return 2 * cut > servers.size();
    }

    /**
     * Returns whether failed connects of this node say little of the servers: several servers were not reached, so that the fault
     * is more likely on this node's side.
     */
    public boolean doubtsOwnPath() {
        if (cutCount > 0) {
            return true;
        }
        long sinceMillis = clock.millis() - DOUBT_MILLIS;
        long lost = states.values().stream()
                .filter(state -> state.failuresInRow > 0 && state.failedMillis > sinceMillis)
                .count();
        return lost >= LOST_SERVERS_IN_DOUBT;
    }

    /** Returns the number of servers to which this node's own path is cut. */
    public int cutCount() {
        return cutCount;
    }

    /** Records that this node has opened a connection to a server. */
    public void directOpened(ServerEntry server) {
        PathState state = state(server);
        state.openedMillis = clock.millis();
        state.failuresInRow = 0;
        suspects.remove(server.processKey());
        if (state.cut) {
            state.cut = false;
            cutCount--;
            listener.onRestored(server, state.openedMillis - state.cutSinceMillis);
        }
    }

    /**
     * Records that this node could not open a connection to a server.
     *
     * @param begunMillis when the connect was begun
     */
    public void directFailed(ServerEntry server, Failure failure, long begunMillis) {
        PathState state = state(server);
        state.failedMillis = clock.millis();
        state.failedBegunMillis = begunMillis;
        state.failure = failure;
        state.failuresInRow++;
        checkCut(server, state);
    }

    /** Records what a node answered that was asked for a relayed connection. */
    public void relayAnswered(ServerEntry server, NodeIdentity relay, RelayMessages.Outcome outcome) {
        PathState state = state(server);
        switch (outcome) {
            case OPENED -> {
                state.relayedMillis = clock.millis();
                state.relay = relay;
                avoidedUntilMillis.remove(relay.memberName());
                provenUntilMillis.put(relay.memberName(), clock.millis() + PROVEN_MILLIS);
                checkCut(server, state);
            }
            case CUT_OFF -> avoid(relay, AVOID_CUT_MILLIS);
            case REFUSED, TIMED_OUT -> {
                if (isRecent(state.relayedMillis)) {
                    // Another node reached the server, so this one is cut off from it and does not know yet.
                    avoid(relay, AVOID_CUT_MILLIS);
                }
            }
            case BUSY -> avoid(relay, AVOID_BUSY_MILLIS);
            case LEAVING -> avoid(relay, AVOID_LEAVING_MILLIS);
            case NO_ANSWER -> avoid(relay, AVOID_SILENT_MILLIS);
            case UNKNOWN_SERVER -> {}
        }
    }

    /** Returns the servers to which this node is to open a connection, to learn whether a cut is over or how far it goes. */
    public List<ServerEntry> takeDueProbes(Collection<ServerEntry> servers) {
        if (cutCount == 0 && suspects.isEmpty()) {
            return List.of();
        }
        long nowMillis = clock.millis();
        List<ServerEntry> due = new ArrayList<>();
        for (ServerEntry server : servers) {
            if (isProbeDue(server, nowMillis)) {
                due.add(server);
            }
        }
        due.sort(Comparator.comparingLong(server -> state(server).probedMillis));
        List<ServerEntry> begun = due.subList(0, Math.min(due.size(), MAX_PROBES_AT_ONCE));
        begun.forEach(server -> state(server).probedMillis = nowMillis);
        return begun;
    }

    private boolean isProbeDue(ServerEntry server, long nowMillis) {
        PathState state = state(server);
        if (state.cut) {
            return nowMillis - state.probedMillis >= CUT_PROBE_MILLIS;
        }
        if (suspects.contains(server.processKey())) {
            return state.probedMillis < state.failedMillis;
        }
        long evidenceMillis = Math.max(state.probedMillis, Math.max(state.openedMillis, state.failedMillis));
        return cutCount > 0 && nowMillis - evidenceMillis >= SUSPECT_PROBE_MILLIS;
    }

    /** Forgets all server processes but the given ones. */
    public void retain(Set<String> processes) {
        states.keySet().retainAll(processes);
        suspects.retainAll(processes);
        cutCount = (int) states.values().stream().filter(state -> state.cut).count();
        long nowMillis = clock.millis();
        avoidedUntilMillis.values().removeIf(until -> until <= nowMillis);
        provenUntilMillis.values().removeIf(until -> until <= nowMillis);
    }

    private void checkCut(ServerEntry server, PathState state) {
        boolean failed = state.failedMillis > state.openedMillis && isRecent(state.failedMillis);
        boolean reachedByOther = state.relayedMillis > state.openedMillis && isRecent(state.relayedMillis);
        if (state.cut || !failed) {
            return;
        }
        if (!reachedByOther && cutCount < CUTS_OF_A_CUT_OFF_NODE) {
            suspectInDoubt(server, state);
            return;
        }
        boolean failedSince = !reachedByOther || state.failedBegunMillis >= state.relayedMillis;
        if (state.failuresInRow < CUT_FAILURES || !failedSince) {
            suspects.add(server.processKey());
        } else {
            suspects.remove(server.processKey());
            state.cut = true;
            state.cutSinceMillis = state.failedBegunMillis;
            state.probedMillis = clock.millis();
            cutCount++;
            listener.onCut(server, state.failure, Optional.ofNullable(state.relay));
        }
    }

    /** Lets a server be tried that may be down for all, seldom, since all nodes do so then. */
    private void suspectInDoubt(ServerEntry server, PathState state) {
        boolean due = clock.millis() - state.probedMillis >= SUSPECT_PROBE_MILLIS;
        if (due && doubtsOwnPath()) {
            suspects.add(server.processKey());
        } else {
            suspects.remove(server.processKey());
        }
    }

    private boolean isRecent(long atMillis) {
        return clock.millis() - atMillis < CONFIRMATION_MILLIS;
    }

    private PathState state(ServerEntry server) {
        return states.computeIfAbsent(server.processKey(), key -> new PathState());
    }

    private void avoid(NodeIdentity relay, long millis) {
        provenUntilMillis.remove(relay.memberName());
        avoidedUntilMillis.put(relay.memberName(), clock.millis() + millis);
    }

    /**
     * Returns the other nodes that are not avoided: first those in the server's or this node's domain. If all are avoided, only the
     * one that is avoided for the shortest time is asked, so that requests which nobody can serve are refused at once.
     */
    private List<NodeIdentity> relays(ServerEntry server) {
        List<NodeIdentity> others = new ArrayList<>(nodes.get().nodes());
        others.removeIf(node -> node.name().equals(self.name()));
        long nowMillis = clock.millis();
        List<NodeIdentity> usable = new ArrayList<>(others);
        usable.removeIf(node -> avoidedUntilMillis(node) > nowMillis);
        if (usable.isEmpty()) {
            return others.stream()
                    .min(Comparator.comparingLong(this::avoidedUntilMillis))
                    .map(List::of)
                    .orElse(List.of());
        }
        Collections.shuffle(usable, random);
        boolean explores = random.nextDouble() < EXPLORED_FRACTION;
        // A relay in the server's domain, or in this node's, moves no more bytes between domains than a direct
        // connection.
        usable.sort(Comparator.comparing((NodeIdentity node) -> !explores && !isProven(node, nowMillis))
                .thenComparing(node -> isFar(node, server))
                .thenComparingInt(node -> -node.capacityPercent()));
        return usable;
    }

    private boolean isProven(NodeIdentity node, long nowMillis) {
        return provenUntilMillis.getOrDefault(node.memberName(), Long.MIN_VALUE) > nowMillis;
    }

    private boolean isFar(NodeIdentity node, ServerEntry server) {
        return !node.failureDomain().equals(server.failureDomain())
                && !node.failureDomain().equals(self.failureDomain());
    }

    private long avoidedUntilMillis(NodeIdentity node) {
        return avoidedUntilMillis.getOrDefault(node.memberName(), Long.MIN_VALUE);
    }
}
