package org.agatehatch.daemon;

import java.net.URI;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.api.time.WallClock;
import org.agatehatch.daemon.platform.HttpAppendLog;
import org.agatehatch.daemon.platform.HttpEngineOrders;
import org.agatehatch.daemon.platform.PlatformHttp;
import org.agatehatch.daemon.platform.VmListClient;
import org.agatehatch.daemon.settings.NodeSettings;
import org.agatehatch.daemon.wiring.Node;
import org.agatehatch.daemon.wiring.NodeContext;
import org.agatehatch.internal.process.DefaultControlThread;
import org.agatehatch.internal.process.digest.NodeInfo;
import org.apache.pekko.actor.ActorSystem;

/** A started node, together with the embedded stand-ins of the platform if the settings ask for them. */
public final class RunningNode {
    private final Node node;
    private final NodeInfo info;
    private final DefaultControlThread control;
    private final Optional<EmbeddedPlatform> embedded;

    private RunningNode(Node node, NodeInfo info, DefaultControlThread control, Optional<EmbeddedPlatform> embedded) {
        this.node = node;
        this.info = info;
        this.control = control;
        this.embedded = embedded;
    }

    /** Starts a node and returns once its ports are bound. */
    public static RunningNode start(ActorSystem system, NodeSettings settings) {
        Optional<EmbeddedPlatform> embedded =
                settings.embedded() ? Optional.of(EmbeddedPlatform.start(system)) : Optional.empty();
        URI logUrl = embedded.map(EmbeddedPlatform::log).orElse(settings.logUrl());
        URI vmListUrl = embedded.map(EmbeddedPlatform::vmList).orElse(settings.vmListUrl());
        PlatformHttp http = new PlatformHttp(system);
        DefaultControlThread control = new DefaultControlThread("control");
        SecureRandom secureRandom = new SecureRandom();
        NodeContext context = new NodeContext(
                settings,
                Long.toHexString(secureRandom.nextLong()),
                control,
                new HttpAppendLog(http, logUrl),
                new HttpEngineOrders(http),
                MonotonicClock.system(),
                WallClock.system(),
                secureRandom,
                () -> ThreadLocalRandom.current().nextLong());
        Node node = new Node(context, system, new VmListClient(http, vmListUrl));
        NodeInfo info = node.start().toCompletableFuture().join();
        RunningNode running = new RunningNode(node, info, control, embedded);
        embedded.ifPresent(platform -> node.publishFirstCatalogue(platform.sampleCatalogue()));
        return running;
    }

    /** Stops the node gracefully, then the control thread and the embedded stand-ins. */
    public CompletionStage<Void> stop() {
        return node.stop().thenRun(() -> {
            control.close();
            embedded.ifPresent(EmbeddedPlatform::close);
        });
    }

    /** Returns the node's name and addresses. */
    public NodeInfo info() {
        return info;
    }

    boolean embedded() {
        return embedded.isPresent();
    }
}
