package org.agatehatch.gateway.request;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.gateway.HeaderCodec;
import org.agatehatch.internal.request.StreamOrigins;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out where a stream that a caller takes up must go on. What two versions of the servers' software write does not fit
 * together, and servers don't check it, so that a stream whose version is not known goes nowhere.
 */
final class StreamTakeUp {
    /** Interval at which it is checked whether this node's view of the servers has become recent enough. */
    private static final long VIEW_CHECK_MILLIS = 50;

    /** Longest wait for a recent view: above the registration time plus the interval in which a node reads the entries. */
    private static final long MAX_VIEW_WAIT_MILLIS = 1_400;

    /** Time after a server has left this node's view in which another node may still begin a stream there. */
    private static final long VIEW_LAG_MILLIS = 3_000;

    private static final Logger log = LoggerFactory.getLogger(StreamTakeUp.class);

    private final ExchangeContext context;
    private final RouteSpec route;
    private final String service;
    private final long arrivedNanos;

    /**
     * Creates the search for a request.
     *
     * @param service service of the stream if it is not on record
     * @param arrivedNanos time of the request's arrival
     */
    StreamTakeUp(ExchangeContext context, RouteSpec route, String service, long arrivedNanos) {
        this.context = context;
        this.route = route;
        this.service = service;
        this.arrivedNanos = arrivedNanos;
    }

    /** Returns the time for which a stream may be taken up, and other nodes may begin it at servers that this node saw leave. */
    static long spanMillis(RouteSpec route) {
        return route.timeoutMillis() + VIEW_LAG_MILLIS;
    }

    /** Passes on the origin of the stream on the traffic thread; empty if it is not known. */
    void resolve(HeaderCodec.RequestMetadata request, Consumer<Optional<StreamOrigins.Origin>> listener) {
        String originAttemptId = request.takeUp().orElseThrow().originAttemptId();
        context.streamOrigins()
                .originOf(originAttemptId)
                .thenAcceptAsync(
                        known -> {
                            if (known.isPresent()) {
                                finish(request, known, true, listener);
                            } else {
                                long nowMillis = context.clock().millis();
                                awaitRecentView(request, nowMillis + MAX_VIEW_WAIT_MILLIS, listener);
                            }
                        },
                        context.loop());
    }

    /**
     * The stream may have begun at a server process that this node does not know yet, until its view holds the entries of all that
     * listened before the request.
     */
    private void awaitRecentView(
            HeaderCodec.RequestMetadata request, long untilMillis, Consumer<Optional<StreamOrigins.Origin>> listener) {
        if (context.serverViewAsOf()
                .test(arrivedNanos + TimeUnit.MILLISECONDS.toNanos(ProcessCheck.REGISTRATION_MILLIS))) {
            findOnlyPossibleOrigin()
                    .thenAcceptAsync(origin -> finish(request, origin, false, listener), context.loop());
        } else if (context.clock().millis() >= untilMillis) {
            finish(request, Optional.empty(), false, listener);
        } else {
            context.loop()
                    .schedule(
                            () -> awaitRecentView(request, untilMillis, listener),
                            VIEW_CHECK_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void finish(
            HeaderCodec.RequestMetadata request,
            Optional<StreamOrigins.Origin> origin,
            boolean onRecord,
            Consumer<Optional<StreamOrigins.Origin>> listener) {
        record(request.attemptId(), request.takeUp().orElseThrow().originAttemptId(), onRecord, origin);
        listener.accept(origin);
    }

    private void record(
            String attemptId, String originAttemptId, boolean onRecord, Optional<StreamOrigins.Origin> origin) {
        String source = onRecord ? "recorded" : origin.isPresent() ? "only_version" : "unknown";
        context.metrics().streamTakenUp(source);
        log.info(
                "event=stream_taken_up id={} origin={} service={} version={} source={}",
                attemptId,
                originAttemptId,
                origin.map(StreamOrigins.Origin::service).orElse("-"),
                origin.map(StreamOrigins.Origin::softwareVersion).orElse("-"),
                source);
    }

    /**
     * Finds the origin of a stream that is not on record if there was only one for as long as a stream may last. A node that has
     * just started asks the others what they saw, and makes sure that it has seen nothing else since.
     */
    private CompletionStage<Optional<StreamOrigins.Origin>> findOnlyPossibleOrigin() {
        if (route.services().size() > 1) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        long spanMillis = spanMillis(route);
        Optional<String> own = context.softwareVersions().onlyVersion(service, spanMillis);
        Set<String> seen = context.softwareVersions().versionsSeen(service, spanMillis);
        if (own.isPresent() || seen.size() > 1) {
            return CompletableFuture.completedFuture(own.map(this::origin));
        }
        return context.versionsSeenByPeers()
                .find(service, spanMillis)
                .thenApply(version -> version.filter(found -> seen.isEmpty() || seen.contains(found))
                        .map(this::origin));
    }

    private StreamOrigins.Origin origin(String version) {
        return new StreamOrigins.Origin(service, version);
    }
}
