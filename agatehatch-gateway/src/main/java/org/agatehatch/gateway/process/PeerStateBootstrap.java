package org.agatehatch.gateway.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.gateway.links.TcpPeerTransport;
import org.agatehatch.internal.process.ControlThread;
import org.agatehatch.internal.process.StateMessages;
import org.agatehatch.internal.process.TopicFollower;
import org.agatehatch.internal.process.ValueDeflater;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches the configuration and the server records from other nodes if this node starts while the store is unreachable, and
 * serves the same state to others. Asks for the configuration even if the store answers, since a store that came back from an
 * older copy may lack the newest one. Runs on the control thread.
 */
final class PeerStateBootstrap {
    private static final Logger log = LoggerFactory.getLogger(PeerStateBootstrap.class);

    /** Time for the store to answer before peers are asked. It usually answers within some milliseconds. */
    private static final long INITIAL_DELAY_MILLIS = 400;

    private static final long RETRY_INTERVAL_MILLIS = 700;
    private static final long REQUEST_TIMEOUT_MILLIS = 400;

    private final List<String> peers;
    private final ControlThread control;
    private final BooleanSupplier hasCompleteState;
    private final Consumer<StateMessages.StoredState> receiver;
    private final Map<String, byte[]> serverRecords = new LinkedHashMap<>();
    private final ValueDeflater configDeflater = new ValueDeflater();
    private Optional<byte[]> configRecord = Optional.empty();
    private int nextPeer;

    /**
     * Creates an instance without state.
     *
     * @param peers addresses of nodes that may have the state
     * @param hasCompleteState whether this node can serve without further state
     * @param receiver receives the state that a peer sent
     */
    PeerStateBootstrap(
            List<String> peers,
            ControlThread control,
            BooleanSupplier hasCompleteState,
            Consumer<StateMessages.StoredState> receiver) {
        this.peers = List.copyOf(peers);
        this.control = control;
        this.hasCompleteState = hasCompleteState;
        this.receiver = receiver;
    }

    /** Schedules the first request for state. Peers are asked only while this node's state is incomplete. */
    void start(TcpPeerTransport transport) {
        if (!peers.isEmpty()) {
            requestConfig(transport, peers.size());
            control.schedule(INITIAL_DELAY_MILLIS, () -> requestState(transport));
        }
    }

    private void requestConfig(TcpPeerTransport transport, int attemptsLeft) {
        String peer = peers.get(nextPeer++ % peers.size());
        transport
                .ask(peer, StateMessages.request(), REQUEST_TIMEOUT_MILLIS)
                .thenApply(StateMessages::decode)
                .whenComplete((state, failure) -> control.execute(() -> {
                    if (failure == null && state.config().isPresent()) {
                        receiver.accept(new StateMessages.StoredState(state.config(), Map.of()));
                    } else if (attemptsLeft > 1) {
                        requestConfig(transport, attemptsLeft - 1);
                    }
                }));
    }

    /** Returns a listener that records the newest record of each server and delegates to the given listener. */
    TopicFollower.Listener recording(TopicFollower.Listener listener) {
        return new TopicFollower.Listener() {
            @Override
            public void onBatch(Runnable changes) {
                listener.onBatch(changes);
            }

            @Override
            public void onValue(String key, byte[] value) {
                serverRecords.put(key, value);
                listener.onValue(key, value);
            }

            @Override
            public void onRemoved(String key) {
                serverRecords.remove(key);
                listener.onRemoved(key);
            }

            @Override
            public void onHistoryMissing() {
                listener.onHistoryMissing();
            }

            @Override
            public void onNewEra(long era) {
                listener.onNewEra(era);
            }

            @Override
            public void onCaughtUp() {
                listener.onCaughtUp();
            }
        };
    }

    /** Records the newest configuration record. */
    void recordConfig(byte[] record) {
        configRecord = Optional.of(record);
    }

    /** Returns the recorded state in response to a peer's request. */
    PeerMessage respond(PeerMessage request) {
        return StateMessages.respond(
                request, new StateMessages.StoredState(configRecord, serverRecords), configDeflater);
    }

    private void requestState(TcpPeerTransport transport) {
        if (hasCompleteState.getAsBoolean()) {
            return;
        }
        String peer = peers.get(nextPeer++ % peers.size());
        transport
                .ask(peer, StateMessages.request(), REQUEST_TIMEOUT_MILLIS)
                .thenApply(StateMessages::decode)
                .whenComplete((state, failure) -> control.execute(() -> {
                    if (failure == null && !hasCompleteState.getAsBoolean()) {
                        log.info(
                                "event=state_received node={} config={} servers={}",
                                peer,
                                state.config().isPresent(),
                                state.servers().size());
                        receiver.accept(state);
                    }
                }));
        control.schedule(RETRY_INTERVAL_MILLIS, () -> requestState(transport));
    }
}
