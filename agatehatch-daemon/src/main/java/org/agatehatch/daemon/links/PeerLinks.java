package org.agatehatch.daemon.links;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.internal.connection.PeerSession;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Framing;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Opens and accepts peer links. Messages to an address share one outgoing link, which is opened on first use. */
public final class PeerLinks implements PeerTransport {
    private static final Logger log = LoggerFactory.getLogger(PeerLinks.class);
    private static final int OUTPUT_QUEUE_FRAMES = 1_024;
    private static final int MAX_LINKS = 1_024;
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 3_000;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final ClassicActorSystemProvider system;
    private final Materializer materializer;
    private final String ownName;
    private final String sharedKey;
    private final SecureRandom random;
    private final PeerHandler handler;
    private final Map<String, PeerLink> outgoingByAddress = new ConcurrentHashMap<>();
    private final Set<PeerLink> links = ConcurrentHashMap.newKeySet();
    private final AtomicInteger linkCount = new AtomicInteger();
    private final AtomicLong lastLinkNumber = new AtomicLong();
    private final AtomicLong bytesOfClosedLinks = new AtomicLong();

    public PeerLinks(
            ClassicActorSystemProvider system,
            String ownName,
            String sharedKey,
            SecureRandom random,
            PeerHandler handler) {
        this.system = system;
        this.materializer = SystemMaterializer.get(system).materializer();
        this.ownName = ownName;
        this.sharedKey = sharedKey;
        this.random = random;
        this.handler = handler;
    }

    /** Binds the peer port, accepts links from other nodes, and returns the bound port. */
    public CompletionStage<Integer> bind(String host, int port) {
        return Tcp.get(system.classicSystem())
                .bind(host, port)
                .to(Sink.foreach(connection -> accept(connection)))
                .run(materializer)
                .thenApply(binding -> binding.localAddress().getPort());
    }

    /** Opens a link to each of the given peer addresses that has no outgoing link. */
    public void connect(Collection<String> addresses) {
        addresses.forEach(address -> link(address).exceptionally(ignored -> null));
    }

    /** Returns all authenticated links. */
    public List<PeerLink> links() {
        return List.copyOf(links);
    }

    /** Returns the bytes sent and received over all links since start, without length prefixes and TCP headers. */
    public long totalBytes() {
        return bytesOfClosedLinks.get()
                + links.stream()
                        .mapToLong(link -> link.bytesSent() + link.bytesReceived())
                        .sum();
    }

    @Override
    public void send(String nodeAddress, PeerMessage message) {
        link(nodeAddress).thenAccept(link -> link.send(message)).exceptionally(ignored -> null);
    }

    @Override
    public CompletionStage<PeerMessage> ask(String nodeAddress, PeerMessage message, long timeoutMillis) {
        return link(nodeAddress)
                .thenCompose(link -> link.ask(message, timeoutMillis))
                .toCompletableFuture()
                .orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private CompletionStage<PeerLink> link(String address) {
        return outgoingByAddress.computeIfAbsent(address, this::open).opened();
    }

    private PeerLink open(String address) {
        int colon = address.lastIndexOf(':');
        Flow<ByteString, ByteString, ?> connection = Tcp.get(system.classicSystem())
                .outgoingConnection(
                        new InetSocketAddress(
                                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                        Optional.empty(),
                        List.of(),
                        true,
                        Optional.of(CONNECT_TIMEOUT),
                        Optional.of(IDLE_TIMEOUT));
        return startLink(true, link -> outgoingByAddress.remove(address, link), connection);
    }

    private void accept(Tcp.IncomingConnection connection) {
        if (linkCount.get() >= MAX_LINKS) {
            connection.handleWith(Flow.fromSinkAndSource(Sink.cancelled(), Source.empty()), materializer);
            return;
        }
        startLink(false, link -> {}, connection.flow().idleTimeout(IDLE_TIMEOUT));
    }

    private PeerLink startLink(
            boolean outgoing, Consumer<PeerLink> whenClosed, Flow<ByteString, ByteString, ?> connection) {
        Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> output =
                Source.<ByteString>queue(OUTPUT_QUEUE_FRAMES).preMaterialize(materializer);
        byte[] nonce = new byte[PeerSession.NONCE_BYTES];
        random.nextBytes(nonce);
        PeerSession session = new PeerSession(sharedKey, outgoing, ownName, nonce);
        PeerLink link =
                new PeerLink("link-" + lastLinkNumber.incrementAndGet(), outgoing, session, handler, output.first());
        linkCount.incrementAndGet();
        Sink<ByteString, CompletionStage<Done>> input = decoder().toMat(Sink.foreach(link::onBytes), Keep.right());
        Flow<ByteString, ByteString, CompletionStage<Done>> frames =
                Flow.fromSinkAndSourceCoupledMat(input, output.second().via(encoder()), Keep.left());
        // Enqueues the hello before the peer's hello can arrive, whose answer must follow it.
        link.start();
        CompletionStage<Done> done = frames.join(connection).run(materializer);
        link.opened().thenAccept(links::add);
        done.whenComplete((ignored, failure) -> onLinkClosed(link, whenClosed, failure));
        materializer
                .system()
                .scheduler()
                .scheduleOnce(
                        Duration.ofMillis(HANDSHAKE_TIMEOUT_MILLIS),
                        () -> closeUnlessAuthenticated(link),
                        materializer.executionContext());
        return link;
    }

    private void closeUnlessAuthenticated(PeerLink link) {
        if (!link.opened().toCompletableFuture().isDone()) {
            link.close();
        }
    }

    private void onLinkClosed(PeerLink link, Consumer<PeerLink> whenClosed, Throwable failure) {
        linkCount.decrementAndGet();
        links.remove(link);
        bytesOfClosedLinks.addAndGet(link.bytesSent() + link.bytesReceived());
        whenClosed.accept(link);
        link.onClosed();
        if (failure != null) {
            log.info("peer link closed: link={} peer={} cause={}", link.id(), link.peerName(), failure.getMessage());
        }
    }

    private static Flow<ByteString, ByteString, NotUsed> encoder() {
        return Flow.<ByteString>create().map(content -> {
            byte[] length =
                    ByteBuffer.allocate(Integer.BYTES).putInt(content.size()).array();
            return ByteString.fromArrayUnsafe(length).concat(content);
        });
    }

    private static Flow<ByteString, ByteString, NotUsed> decoder() {
        int maxBytes = PeerSession.MAX_SEALED_BYTES + Integer.BYTES;
        return Framing.lengthField(Integer.BYTES, 0, maxBytes, ByteOrder.BIG_ENDIAN)
                .map(frame -> frame.drop(Integer.BYTES));
    }
}
