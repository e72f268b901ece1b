package org.agatehatch.api.fleet;

import java.util.List;

/**
 * A route of the configuration.
 *
 * @param host host name that callers send their requests to
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMillis maximum time for which a caller waits
 * @param targetMillis latency target of the answer or, for a stream, of its first event
 * @param priority priority of the route's requests; 0 is the highest
 * @param services at least one
 * @param maxAttempts maximum number of backend servers that may run one attempt of a caller
 * @param resumable whether another backend server may resume a stream after its last delivered event
 * @param maxPauseMillis target for the pause between two events of a stream; 0 if the answer is not a stream
 * @param publicAccess whether requests need no API key
 */
public record RouteSpec(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean resumable,
        long maxPauseMillis,
        boolean publicAccess) {
    /** Callers of the users' platform leave a stream, also one that has not begun, after the longest of these gaps. */
    private static final long MIN_PATIENCE_MILLIS = 2_000;

    private static final long PATIENCE_TARGETS = 4;
    private static final long PATIENCE_PAUSES = 8;

    public RouteSpec {
        services = List.copyOf(services);
    }

    /** Creates a route whose requests need an API key if the configuration has teams. */
    public RouteSpec(
            String name,
            String host,
            String pathPrefix,
            RequestKind kind,
            long timeoutMillis,
            long targetMillis,
            int priority,
            List<WeightedService> services,
            int maxAttempts,
            boolean resumable,
            long maxPauseMillis) {
        this(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMillis,
                targetMillis,
                priority,
                services,
                maxAttempts,
                resumable,
                maxPauseMillis,
                false);
    }

    /** Returns whether a request may be retried after it may have run. */
    public boolean repeatable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }

    /** Returns whether the answer is a stream of events. */
    public boolean streaming() {
        return kind == RequestKind.STREAM;
    }

    /** Returns the time after which callers give up an answer of which nothing has arrived. */
    public long patienceMillis() {
        if (!streaming()) {
            return timeoutMillis;
        }
        long byTarget = Math.max(PATIENCE_TARGETS * targetMillis, PATIENCE_PAUSES * maxPauseMillis);
        return Math.min(timeoutMillis, Math.max(MIN_PATIENCE_MILLIS, byTarget));
    }
}
