package org.agatehatch.standins.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.io.Inet;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An HTTP server on one TCP port that can cut connections and crash like a process. */
public final class HttpListener implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(HttpListener.class);
    private static final int BACKLOG = 1024;
    private static final int INBOUND_BUFFER_CHUNKS = 16;
    private static final long BODY_TIMEOUT_MILLIS = 10_000;
    private static final long BIND_TIMEOUT_SECONDS = 10;
    private static final long REBIND_RETRY_MILLIS = 20;
    private static final long REBIND_LIMIT_MILLIS = 10_000;

    // Answers may take long on purpose: long polls, slow loads and frozen stand-ins.
    private static final String SERVER_SETTINGS =
            "pekko.http.server.request-timeout = infinite\npekko.http.server.parsing.max-content-length = 8m\n";

    private final ActorSystem system;
    private final String name;
    private final FaultBox<?> faults;
    private final Handler handler;
    private final ServerSettings serverSettings;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean down;
    private InetSocketAddress address;
    private Tcp.ServerBinding binding;
    private boolean closed;

    public HttpListener(
            ClassicActorSystemProvider system,
            String name,
            String host,
            int port,
            FaultBox<?> faults,
            Handler handler) {
        this.system = system.classicSystem();
        this.name = name;
        this.faults = faults;
        this.handler = handler;
        this.serverSettings = ServerSettings.create(SERVER_SETTINGS);
        this.address = new InetSocketAddress(host, port);
    }

    /** Handles one request. The listener has read its body. */
    @FunctionalInterface
    public interface Handler {
        /** Returns the answer, or a stage that never completes if it cut the connection. */
        CompletionStage<HttpResponse> handle(Call call);
    }

    /** Binds the port; afterwards {@link #address} names the one that was chosen. */
    public synchronized HttpListener start() {
        try {
            binding = bind().toCompletableFuture().get(BIND_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw bindFailure(e);
        } catch (Exception e) {
            throw bindFailure(e);
        }
        address = binding.localAddress();
        return this;
    }

    /** Returns host and port. */
    public synchronized String hostAndPort() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the base address, for example {@code http://127.0.0.1:9001}. */
    public String baseUri() {
        return "http://" + hostAndPort();
    }

    /** Returns the executor on which handlers run. */
    public Executor executor() {
        return system.dispatcher();
    }

    /**
     * Refuses connections, cuts all that are open, and listens on the same port again after a time. Requests are neither
     * handled nor answered from before {@code loseState} runs, so no caller sees the new process before it listens.
     */
    public CompletionStage<Void> crash(long downMillis, Runnable loseState) {
        Tcp.ServerBinding old;
        synchronized (this) {
            old = binding;
            binding = null;
            // A request that is read between the crash and the end of its connection must not reach the new process.
            down = old != null;
        }
        loseState.run();
        if (old == null) {
            return CompletableFuture.completedFuture(null);
        }
        log.info("{} crashes; it is back in {} ms", name, downMillis);
        CompletionStage<?> unbound = old.unbind();
        cutConnections();
        CompletableFuture<Void> back = new CompletableFuture<>();
        unbound.whenComplete((done, failure) -> {
            cutConnections();
            delayed(downMillis).execute(() -> rebind(System.nanoTime(), back));
        });
        return back;
    }

    /** Cuts all open connections. */
    public void cutConnections() {
        connections.forEach(Connection::abort);
    }

    /** Returns an executor that runs tasks after a delay. */
    public Executor delayed(long millis) {
        return CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS, executor());
    }

    @Override
    public void close() {
        Tcp.ServerBinding old;
        synchronized (this) {
            closed = true;
            old = binding;
            binding = null;
        }
        if (old != null) {
            old.unbind()
                    .toCompletableFuture()
                    .orTimeout(BIND_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .join();
        }
        cutConnections();
    }

    private void rebind(long startNanos, CompletableFuture<Void> back) {
        synchronized (this) {
            if (closed) {
                back.complete(null);
                return;
            }
        }
        cutConnections();
        down = false;
        bind().whenComplete((bound, failure) -> {
            if (failure == null) {
                adopt(bound);
                back.complete(null);
            } else if (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(REBIND_LIMIT_MILLIS)) {
                delayed(REBIND_RETRY_MILLIS).execute(() -> rebind(startNanos, back));
            } else {
                log.error("{} cannot listen on {} again", name, hostAndPort(), failure);
                back.completeExceptionally(failure);
            }
        });
    }

    private synchronized void adopt(Tcp.ServerBinding bound) {
        if (closed) {
            bound.unbind();
            return;
        }
        binding = bound;
    }

    private CompletionStage<Tcp.ServerBinding> bind() {
        List<Inet.SocketOption> options = List.of(TcpSO.tcpNoDelay(true));
        return Tcp.get(system)
                .bind(address.getHostString(), address.getPort(), BACKLOG, options, false, Optional.empty())
                .to(Sink.foreach(this::serve))
                .run(SystemMaterializer.get(system).materializer());
    }

    private void serve(Tcp.IncomingConnection incoming) {
        Connection connection = new Connection();
        connections.add(connection);
        // The buffer keeps the TCP side read, so that a caller's hang-up shows while its request is still running.
        Flow<ByteString, ByteString, ?> tcp = Flow.of(ByteString.class)
                .via(connection.killSwitch().flow())
                .via(incoming.flow())
                .via(connection.killSwitch().flow())
                .watchTermination((mat, done) -> done.whenComplete((end, failure) -> {
                    connections.remove(connection);
                    connection.closed();
                }))
                .buffer(INBOUND_BUFFER_CHUNKS, OverflowStrategy.backpressure());
        BidiFlow<HttpResponse, TLSProtocol.SslTlsOutbound, TLSProtocol.SslTlsInbound, HttpRequest, ?> layer =
                Http.get(system).serverLayer(serverSettings);
        layer.join(TLSPlacebo.getInstance().join(tcp).map(bytes -> (TLSProtocol.SslTlsInbound) bytes))
                .join(Flow.of(HttpRequest.class).mapAsync(1, request -> handle(request, connection)))
                .run(SystemMaterializer.get(system).materializer());
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request, Connection connection) {
        return request.entity()
                .toStrict(BODY_TIMEOUT_MILLIS, SystemMaterializer.get(system).materializer())
                .thenCompose(
                        entity -> dispatch(new Call(request, entity.getData().toArray(), connection)))
                .exceptionally(this::failure);
    }

    private CompletionStage<HttpResponse> dispatch(Call call) {
        if (down) {
            call.connection().abort();
            return Responses.never();
        }
        return switch (call.target()) {
            case "GET /faults" -> Responses.now(Responses.ok(faults.get()));
            case "POST /faults" -> Responses.now(Responses.ok(faults.merge(call.json())));
            default ->
                faults.thawed().thenCompose(thawed -> handler.handle(call)).thenCompose(this::answerDelay);
        };
    }

    private CompletionStage<HttpResponse> answerDelay(HttpResponse response) {
        long millis = faults.get().answerDelayMillis();
        if (millis == 0) {
            return CompletableFuture.completedFuture(response);
        }
        return CompletableFuture.supplyAsync(() -> response, delayed(millis));
    }

    private HttpResponse failure(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof AgatehatchException e && e.code() == ErrorCode.INVALID_REQUEST) {
            return Responses.refusal(400, e.code().wireName(), e.step(), name, e.getMessage());
        }
        if (cause instanceof EntityStreamSizeException) {
            return Responses.refusal(
                    413, "request_too_large", "parse", name, "the body has more than 8 MiB; shorten it");
        }
        log.error("{} failed on a request", name, cause);
        return Responses.error(500, "internal", "handle", name, Outcome.UNKNOWN, String.valueOf(cause));
    }

    private AgatehatchException bindFailure(Exception cause) {
        String message = name + " cannot listen on " + address + " (" + cause + "); choose a free port or port 0";
        return new AgatehatchException(ErrorCode.INVALID_SETTING, "bind", name, Outcome.NOT_RUN, message, cause);
    }
}
