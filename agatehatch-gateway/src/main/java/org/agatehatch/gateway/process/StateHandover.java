package org.agatehatch.gateway.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.gateway.links.NodeLinks;
import org.agatehatch.internal.process.ControlThread;
import org.agatehatch.internal.process.StateMessages;
import org.agatehatch.internal.process.TopicFollower;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets a node that starts while it can't reach the store begin with what other nodes have read there. Runs on the control
 * thread.
 */
final class StateHandover {
    private static final Logger log = LoggerFactory.getLogger(StateHandover.class);

    /** Time that the store is given first; it usually answers within some milliseconds. */
    private static final long FIRST_ASK_MILLIS = 400;

    private static final long ASK_AGAIN_MILLIS = 700;
    private static final long ANSWER_MILLIS = 400;

    private final List<String> nodes;
    private final ControlThread control;
    private final BooleanSupplier complete;
    private final Consumer<StateMessages.StoredState> receiver;
    private final Map<String, byte[]> servers = new LinkedHashMap<>();
    private Optional<byte[]> config = Optional.empty();
    private int next;

    /**
     * Creates a handover without state.
     *
     * @param nodes addresses of nodes that may know the state
     * @param complete whether this node knows enough to serve
     * @param receiver takes what another node sent
     */
    StateHandover(
            List<String> nodes,
            ControlThread control,
            BooleanSupplier complete,
            Consumer<StateMessages.StoredState> receiver) {
        this.nodes = List.copyOf(nodes);
        this.control = control;
        this.complete = complete;
        this.receiver = receiver;
    }

    /** Starts to ask for the state, if it does not come from the store. */
    void start(NodeLinks links) {
        if (!nodes.isEmpty()) {
            control.schedule(FIRST_ASK_MILLIS, () -> ask(links));
        }
    }

    /** Returns a listener that keeps the newest records of the servers, and passes them on. */
    TopicFollower.Listener keeping(TopicFollower.Listener listener) {
        return new TopicFollower.Listener() {
            @Override
            public void onBatch(Runnable changes) {
                listener.onBatch(changes);
            }

            @Override
            public void onValue(String key, byte[] value) {
                servers.put(key, value);
                listener.onValue(key, value);
            }

            @Override
            public void onRemoved(String key) {
                servers.remove(key);
                listener.onRemoved(key);
            }

            @Override
            public void onCaughtUp() {
                listener.onCaughtUp();
            }
        };
    }

    /** Keeps the newest record of the configuration. */
    void configRead(byte[] record) {
        config = Optional.of(record);
    }

    /** Returns what this node can tell others. */
    PeerMessage answer() {
        return StateMessages.encode(new StateMessages.StoredState(config, servers));
    }

    private void ask(NodeLinks links) {
        if (complete.getAsBoolean()) {
            return;
        }
        String node = nodes.get(next++ % nodes.size());
        links.ask(node, StateMessages.request(), ANSWER_MILLIS)
                .thenApply(StateMessages::decode)
                .whenComplete((state, failure) -> control.execute(() -> {
                    if (failure == null && !complete.getAsBoolean()) {
                        log.info(
                                "event=state_received node={} config={} servers={}",
                                node,
                                state.config().isPresent(),
                                state.servers().size());
                        receiver.accept(state);
                    }
                }));
        control.schedule(ASK_AGAIN_MILLIS, () -> ask(links));
    }
}
