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
import org.agatehatch.internal.process.KeyedFollower;
import org.agatehatch.internal.process.StateMessages;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets a node that starts while it can't reach the store begin with what other nodes have read there. Runs on the control
 * thread.
 */
final class PeerStateBootstrap {
    private static final Logger log = LoggerFactory.getLogger(PeerStateBootstrap.class);

    /** Time that the store is given first; it usually answers within some milliseconds. */
    private static final long INITIAL_DELAY_MILLIS = 400;

    private static final long RETRY_INTERVAL_MILLIS = 700;
    private static final long REQUEST_TIMEOUT_MILLIS = 400;

    private final List<String> peers;
    private final ControlThread control;
    private final BooleanSupplier hasCompleteState;
    private final Consumer<StateMessages.State> receiver;
    private final Map<String, byte[]> serverRecords = new LinkedHashMap<>();
    private Optional<byte[]> configRecord = Optional.empty();
    private int nextPeer;

    /**
     * Creates a handover without state.
     *
     * @param nodes addresses of nodes that may know the state
     * @param complete whether this node knows enough to serve
     * @param receiver takes what another node sent
     */
    PeerStateBootstrap(
            List<String> nodes,
            ControlThread control,
            BooleanSupplier complete,
            Consumer<StateMessages.State> receiver) {
        this.peers = List.copyOf(nodes);
        this.control = control;
        this.hasCompleteState = complete;
        this.receiver = receiver;
    }

    /** Starts to ask for the state, if it does not come from the store. */
    void start(TcpPeerTransport links) {
        if (!peers.isEmpty()) {
            control.schedule(INITIAL_DELAY_MILLIS, () -> requestState(links));
        }
    }

    /** Returns a listener that keeps the newest records of the servers, and passes them on. */
    KeyedFollower.Listener recording(KeyedFollower.Listener listener) {
        return new KeyedFollower.Listener() {
            @Override
            public void together(Runnable changes) {
                listener.together(changes);
            }

            @Override
            public void onValue(String key, byte[] value) {
                serverRecords.put(key, value);
                listener.onValue(key, value);
            }

            @Override
            public void onDropped(String key) {
                serverRecords.remove(key);
                listener.onDropped(key);
            }

            @Override
            public void onCaughtUp() {
                listener.onCaughtUp();
            }
        };
    }

    /** Keeps the newest record of the configuration. */
    void recordConfig(byte[] record) {
        configRecord = Optional.of(record);
    }

    /** Returns what this node can tell others. */
    PeerMessage encodeState() {
        return StateMessages.encode(new StateMessages.State(configRecord, serverRecords));
    }

    private void requestState(TcpPeerTransport links) {
        if (hasCompleteState.getAsBoolean()) {
            return;
        }
        String node = peers.get(nextPeer++ % peers.size());
        links.ask(node, StateMessages.ask(), REQUEST_TIMEOUT_MILLIS)
                .thenApply(StateMessages::decode)
                .whenComplete((state, failure) -> control.execute(() -> {
                    if (failure == null && !hasCompleteState.getAsBoolean()) {
                        log.info(
                                "event=state_received node={} config={} servers={}",
                                node,
                                state.config().isPresent(),
                                state.servers().size());
                        receiver.accept(state);
                    }
                }));
        control.schedule(RETRY_INTERVAL_MILLIS, () -> requestState(links));
    }
}
