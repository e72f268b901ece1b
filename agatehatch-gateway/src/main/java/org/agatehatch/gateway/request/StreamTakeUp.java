package org.agatehatch.gateway.request;

import java.util.Optional;
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
    /** Time after a server has left this node's view in which another node may still begin a stream there. */
    private static final long VIEW_LAG_MILLIS = 3_000;

    private static final Logger log = LoggerFactory.getLogger(StreamTakeUp.class);

    private final ExchangeContext context;
    private final RouteSpec route;
    private final String service;

    /**
     * Creates the search for a request.
     *
     * @param service service of the stream if it is not on record
     */
    StreamTakeUp(ExchangeContext context, RouteSpec route, String service) {
        this.context = context;
        this.route = route;
        this.service = service;
    }

    /** Passes on the origin of the stream on the traffic thread; empty if it is not known. */
    void resolve(HeaderCodec.RequestMetadata request, Consumer<Optional<StreamOrigins.Origin>> listener) {
        String originAttemptId = request.takeUp().orElseThrow().originAttemptId();
        context.streamOrigins()
                .originOf(originAttemptId)
                .thenAcceptAsync(
                        known -> {
                            Optional<StreamOrigins.Origin> origin = known.or(this::onlyPossibleOrigin);
                            record(request.attemptId(), originAttemptId, known.isPresent(), origin);
                            listener.accept(origin);
                        },
                        context.loop());
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

    /** Returns the origin of a stream that is not on record if there was only one for as long as a stream may last. */
    private Optional<StreamOrigins.Origin> onlyPossibleOrigin() {
        if (route.services().size() > 1) {
            return Optional.empty();
        }
        return context.softwareVersions()
                .onlyVersion(service, route.timeoutMillis() + VIEW_LAG_MILLIS)
                .map(version -> new StreamOrigins.Origin(service, version));
    }
}
