package org.agatehatch.gateway.request;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.gateway.HeaderCodec;
import org.agatehatch.internal.request.StreamOrigins;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out where a stream that a caller takes up must go on. What two versions of the servers' software write does not fit
 * together, and servers don't check it, so that a stream whose version is not known goes nowhere. Used for one request.
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
    private final long registeredNanos;
    private final String attemptId;
    private final String originAttemptId;
    private final Consumer<Optional<StreamOrigins.Origin>> listener;
    private long untilMillis;
    private boolean peersAsked;
    private boolean finished;

    /**
     * Creates the search for a request.
     *
     * @param service service of the stream if it is not on record
     * @param arrivedNanos time of the request's arrival
     * @param listener receives the origin of the stream on the traffic thread; empty if it is not known
     */
    StreamTakeUp(
            ExchangeContext context,
            RouteSpec route,
            String service,
            long arrivedNanos,
            HeaderCodec.RequestMetadata request,
            Consumer<Optional<StreamOrigins.Origin>> listener) {
        this.context = context;
        this.route = route;
        this.service = service;
        this.registeredNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(ProcessCheck.REGISTRATION_MILLIS);
        this.attemptId = request.attemptId();
        this.originAttemptId = request.takeUp().orElseThrow().originAttemptId();
        this.listener = listener;
    }

    /** Returns the time for which a stream may be taken up, and other nodes may begin it at servers that this node saw leave. */
    static long spanMillis(RouteSpec route) {
        return route.timeoutMillis() + VIEW_LAG_MILLIS;
    }

    /** Starts the search. */
    void start() {
        context.streamOrigins().originOf(originAttemptId).thenAcceptAsync(this::onLookedUp, context.loop());
    }

    private void onLookedUp(Optional<StreamOrigins.Origin> known) {
        if (known.isPresent()) {
            finish(known, "recorded");
            return;
        }
        untilMillis = context.clock().millis() + MAX_VIEW_WAIT_MILLIS;
        findOnlyVersion();
    }

    /**
     * A stream that is not on record goes on if it can have begun at one version only. It may have begun at a server process that is
     * not known yet, until the entries of all that listened before the request have been read.
     */
    private void findOnlyVersion() {
        if (finished) {
            return;
        }
        if (context.clock().millis() >= untilMillis) {
            lookUpAgain();
            return;
        }
        if (route.services().size() == 1 && versionsSeen().size() < 2) {
            boolean recent = context.serverViewAsOf().test(registeredNanos);
            Optional<String> own = context.softwareVersions().onlyVersion(service, spanMillis(route));
            if (recent && own.isPresent()) {
                finish(own.map(this::origin), "only_version");
                return;
            }
            boolean selfWillTell = own.isPresent() && !context.serverViewIsLate();
            if (!peersAsked && !selfWillTell && context.clock().nanos() - registeredNanos >= 0) {
                peersAsked = true;
                context.versionsSeenByPeers()
                        .find(service, spanMillis(route))
                        .thenAcceptAsync(this::onToldByPeers, context.loop());
            }
        }
        context.loop().schedule(this::findOnlyVersion, VIEW_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onToldByPeers(Optional<String> version) {
        Set<String> seen = versionsSeen();
        Optional<String> believed = version.filter(found -> seen.isEmpty() || seen.equals(Set.of(found)));
        if (!finished && believed.isPresent()) {
            finish(believed.map(this::origin), "only_version");
        }
    }

    /** The node that began the stream may have confirmed its version meanwhile. */
    private void lookUpAgain() {
        context.streamOrigins()
                .originOf(originAttemptId)
                .thenAcceptAsync(
                        known -> {
                            if (!finished) {
                                finish(known, known.isPresent() ? "recorded" : "unknown");
                            }
                        },
                        context.loop());
    }

    private void finish(Optional<StreamOrigins.Origin> origin, String source) {
        finished = true;
        context.metrics().streamTakenUp(source);
        log.info(
                "event=stream_taken_up id={} origin={} service={} version={} source={}",
                attemptId,
                originAttemptId,
                origin.map(StreamOrigins.Origin::service).orElse("-"),
                origin.map(StreamOrigins.Origin::softwareVersion).orElse("-"),
                source);
        listener.accept(origin);
    }

    private Set<String> versionsSeen() {
        return context.softwareVersions().versionsSeen(service, spanMillis(route));
    }

    private StreamOrigins.Origin origin(String version) {
        return new StreamOrigins.Origin(service, version);
    }
}
