package org.agatehatch.gateway.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Prometheus metrics of the gateway. Thread-safe. */
public final class GatewayMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double[] LATENCY_BOUNDS_SECONDS = {0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12};

    /** How recent a node's view of a topic is. */
    private record TopicView(Supplier<OptionalLong> ageMillis, IntSupplier failedReads) {}

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Map<String, TopicView> viewsByTopic = new ConcurrentHashMap<>();
    private volatile LongSupplier configVersion = () -> -1;
    private final Gauge inFlight;
    private final Counter answers;
    private final Counter connections;
    private final Counter orders;
    private final Counter silentAttempts;
    private final Counter cutAnswers;
    private final Counter brokenAttempts;
    private final Counter closeEndedAnswers;
    private final Counter answersInDoubt;
    private final Counter strikes;
    private final Gauge quarantinedParts;
    private final Counter refusedForPart;
    private final Counter takenUpStreams;
    private final Gauge limitedServers;
    private final Counter leavingServers =
            counter("agatehatch_leaving_servers", "Server processes that have said in an answer that they are leaving");
    private final Counter skippedResponses = counter(
            "agatehatch_skipped_responses",
            "Responses of servers that named another attempt than the one in flight on their connection");
    private final Counter memoryExhaustions = counter(
            "agatehatch_response_memory_exhausted",
            "Attempts that were ended because incomplete responses, of one server or of all, took too much memory");
    private final Counter serverClosures = counter(
            "agatehatch_server_closures",
            "Answers by which a server asked this node to send nothing for a time, beyond what it had asked before");
    private final Counter teamRequests =
            counter("agatehatch_team_requests", "Requests with a valid API key, by team", "team");
    private final Counter rejectedKeys = counter(
            "agatehatch_rejected_keys",
            "Requests that were rejected for their API key, by reason: missing, malformed, unknown, revoked or stale_view",
            "reason");
    private final Counter quotaTokens =
            counter("agatehatch_quota_admitted_tokens", "Tokens of requests that were admitted, by team", "team");
    private final Counter quotaRefused =
            counter("agatehatch_quota_refusals", "Requests that were refused for their team's quota, by team", "team");
    private final Counter quotaWithoutKeeper = counter(
            "agatehatch_quota_admitted_without_keeper",
            "Requests that were admitted without a grant of the quota keeper, by team",
            "team");
    private final Gauge quotaTokensLeft = Gauge.builder()
            .name("agatehatch_quota_tokens_left")
            .help("Tokens in a team's bucket; only at the quota keeper")
            .labelNames("team")
            .register(registry);
    private final Counter callerRefusals = counter(
            "agatehatch_caller_refusals",
            "Requests refused and connections of callers closed, by reason: evicted, no_memory, too_slow or no_descriptor",
            "reason");
    private final Counter callerAcceptPauses = counter(
            "agatehatch_caller_accept_pauses",
            "Times from which new connections of callers waited in the system's queue, because all that are allowed were used");
    private final Gauge callerMemoryBytes = gauge(
            "agatehatch_caller_memory_bytes", "Memory charged to callers' connections at the last change of state");
    private final Gauge callerConnections =
            gauge("agatehatch_caller_connections", "Connections of callers at the last change of state");
    private final Counter failedConnects = counter(
            "agatehatch_failed_connects",
            "Attempts for which no connection to the backend server could be opened, by cause: refused or timed_out",
            "cause");
    private final Gauge cutOffServers = gauge(
            "agatehatch_cut_off_servers", "Backend servers that this node does not reach although another node does");
    private final Gauge relayedConnections = gauge(
            "agatehatch_relayed_connections", "Connections to backend servers that this node relays for other nodes");
    private final Counter relayAnswers = counter(
            "agatehatch_relay_answers",
            "Questions of other nodes for a relayed connection, by what became of them",
            "outcome");
    private final Gauge usualCapacityFactor = gauge(
            "agatehatch_service_capacity_usual",
            "Time of a service's usual server: for runners a multiple of the expected time to the first event, for others milliseconds",
            "service");
    private final Gauge slowestCapacityFactor = gauge(
            "agatehatch_service_capacity_slowest",
            "Time of a service's slowest server as a multiple of the usual one's",
            "service");
    private final Gauge learnedServers = gauge(
            "agatehatch_service_capacity_servers",
            "Servers of a service of which there are answers of the last seconds",
            "service");
    private final Counter capacityChanges = counter(
            "agatehatch_server_capacity_changes",
            "Changes of a server's speed by half, relative to its service's usual server",
            "service");
    private final Gauge storeEra;
    private final Counter sentToLimitedServers;
    private final Histogram firstByteSeconds;
    private final Histogram readSeconds;
    private final Histogram decisionSeconds;
    private final Histogram loopLagSeconds;
    private final Histogram requestSeconds;

    public GatewayMetrics() {
        inFlight = gauge("agatehatch_requests_in_flight", "Requests that are being worked on");
        answers = counter("agatehatch_answers", "Answers by status; 0 stands for callers who left", "status");
        connections = counter("agatehatch_backend_connections", "Connections opened to backend servers and the store");
        orders = counter("agatehatch_orders", "Orders sent to runners, by reply", "reply");
        silentAttempts = counter(
                "agatehatch_silent_attempts",
                "Attempts at a backend server that received no data for longer than the limit of their route");
        cutAnswers = counter(
                "agatehatch_cut_answers",
                "Answers that were cut after they had begun, by the end of the last attempt",
                "cause");
        brokenAttempts = counter(
                "agatehatch_broken_attempts",
                "Attempts whose connection broke, by what had arrived of the answer: nothing, head or body",
                "received");
        closeEndedAnswers = counter(
                "agatehatch_close_ended_answers",
                "Answers without length or chunks that an orderly close ended, by where: no_event, within_event, after_event"
                        + " or body",
                "position");
        answersInDoubt = counter(
                "agatehatch_close_ended_answers_in_doubt",
                "Answers that an orderly close ended and whose server did not accept a connection afterwards");
        strikes = counter(
                "agatehatch_crash_strikes",
                "Requests in flight at a server process that is known to have died, by who saw it: this node or a peer",
                "source");
        quarantinedParts = gauge(
                "agatehatch_quarantined_prompt_parts",
                "Prompt parts that are kept from servers because they crash them");
        refusedForPart = counter(
                "agatehatch_crashing_part_refusals",
                "Requests that were not sent because of a quarantined prompt part");
        storeEra = gauge("agatehatch_store_era", "Newest era of the store seen; rises when it comes back from a copy");
        takenUpStreams = counter(
                "agatehatch_stream_take_ups",
                "Streams that callers go on with, by how their software version is known: recorded, only_version or unknown",
                "source");
        limitedServers =
                gauge("agatehatch_limited_servers", "Server processes that name a limit of requests per second");
        sentToLimitedServers =
                counter("agatehatch_limited_server_sends", "Requests sent to server processes that name a limit");
        firstByteSeconds =
                latencies("agatehatch_first_byte_seconds", "Time from the send to the first byte of an answer's body");
        requestSeconds =
                latencies("agatehatch_request_seconds", "Time from a request's arrival to the end of its answer");
        readSeconds = latencies(
                "agatehatch_request_read_seconds",
                "Time from the acceptance of a connection, or the begin of a later request on it, to the end of the head");
        decisionSeconds = latencies(
                "agatehatch_request_decision_seconds",
                "Time from the end of a request's head to the first choice of a server");
        loopLagSeconds = latencies(
                "agatehatch_event_loop_lag_seconds", "Delay of a periodic task on the thread that handles requests");
        registerViews();
    }

    private Histogram latencies(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
                .classicOnly()
                .register(registry);
    }

    private void registerViews() {
        GaugeWithCallback.builder()
                .name("agatehatch_config_version")
                .help("Version of the configuration in force; negative before the first")
                .callback(callback -> callback.call(configVersion.getAsLong()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("agatehatch_topic_view_age_seconds")
                .help("Time since this node has known all records of a topic, by topic")
                .labelNames("topic")
                .callback(callback -> viewsByTopic.forEach((topic, view) -> view.ageMillis()
                        .get()
                        .ifPresent(ageMillis -> callback.call(ageMillis / MILLIS_PER_SECOND, topic))))
                .register(registry);
        GaugeWithCallback.builder()
                .name("agatehatch_topic_failed_reads")
                .help("Reads of a topic that have failed since the last one that succeeded, by topic")
                .labelNames("topic")
                .callback(callback -> viewsByTopic.forEach(
                        (topic, view) -> callback.call(view.failedReads().getAsInt(), topic)))
                .register(registry);
    }

    /** Exposes how recent a view of a topic is; its age is empty until the topic was read to its end. */
    public void observeTopic(String topic, Supplier<OptionalLong> ageMillis, IntSupplier failedReads) {
        viewsByTopic.put(topic, new TopicView(ageMillis, failedReads));
    }

    /** Exposes the version of the configuration in force. */
    public void observeConfig(LongSupplier version) {
        configVersion = version;
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Gauge gauge(String name, String help, String... labels) {
        return Gauge.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    /** Counts a request that was refused, or a caller's connection that was closed, because memory or descriptors are used up. */
    public void callerRefused(String reason) {
        callerRefusals.labelValues(reason).inc();
    }

    /** Counts a time from which new connections of callers wait in the system's queue. */
    public void callerAcceptPaused() {
        callerAcceptPauses.inc();
    }

    /** Records what callers' connections hold. */
    public void callerMemory(long bytes, int connections) {
        callerMemoryBytes.set(bytes);
        callerConnections.set(connections);
    }

    /**
     * Counts a request as in flight.
     *
     * @param readMillis time for which its head was received
     */
    public void requestStarted(long readMillis) {
        inFlight.inc();
        readSeconds.observe(readMillis / MILLIS_PER_SECOND);
    }

    /** Records the first choice of a server for a request. */
    public void requestDecided(long afterMillis) {
        decisionSeconds.observe(afterMillis / MILLIS_PER_SECOND);
    }

    /** Records by how much a task on the thread that handles requests was late. */
    public void eventLoopLate(long lateMillis) {
        loopLagSeconds.observe(lateMillis / MILLIS_PER_SECOND);
    }

    /**
     * Records the end of a request.
     *
     * @param status HTTP status of the response; 0 if the caller disconnected first
     */
    public void requestEnded(int status, long durationMillis) {
        inFlight.dec();
        answers.labelValues(Integer.toString(status)).inc();
        requestSeconds.observe(durationMillis / MILLIS_PER_SECOND);
    }

    /** Records the time from sending a request to the first byte of the response body. */
    public void firstByteReceived(long afterMillis) {
        firstByteSeconds.observe(afterMillis / MILLIS_PER_SECOND);
    }

    /** Counts an attempt that received no data for longer than its limit. */
    public void attemptSilent() {
        silentAttempts.inc();
    }

    /** Counts an answer that was cut after it had begun. */
    public void answerCut(String cause) {
        cutAnswers.labelValues(cause).inc();
    }

    /** Counts an attempt whose connection broke. */
    public void attemptBroken(String received) {
        brokenAttempts.labelValues(received).inc();
    }

    /** Counts an answer without length or chunks that an orderly close of its connection ended. */
    public void answerEndedByClose(String position) {
        closeEndedAnswers.labelValues(position).inc();
    }

    /** Counts an answer that an orderly close ended and whose server did not accept a connection afterwards. */
    public void answerInDoubt() {
        answersInDoubt.inc();
    }

    /** Counts a response that named another attempt than the one in flight on its connection. */
    public void responseSkipped() {
        skippedResponses.inc();
    }

    /** Counts an attempt that was ended because incomplete responses took too much memory. */
    public void responseMemoryExhausted() {
        memoryExhaustions.inc();
    }

    /** Counts a crash that was attributed to a request. */
    public void crashStrike(boolean own) {
        strikes.labelValues(own ? "own" : "peer").inc();
    }

    /** Sets the number of prompt parts in quarantine. */
    public void partsQuarantined(int count) {
        quarantinedParts.set(count);
    }

    /** Counts a request that was not sent because of a quarantined prompt part. */
    public void crashingPartRefused() {
        refusedForPart.inc();
    }

    /** Counts a stream that a caller goes on with. */
    public void streamTakenUp(String source) {
        takenUpStreams.labelValues(source).inc();
    }

    /** Sets the newest era of the store that this node has seen. */
    public void storeEra(long era) {
        storeEra.set(era);
    }

    /** Sets the number of server processes that name a limit. */
    public void serversLimited(int count) {
        limitedServers.set(count);
    }

    /** Counts a request sent to a server that names a limit. */
    public void sentToLimitedServer() {
        sentToLimitedServers.inc();
    }

    /** Counts a server process that has said that it is leaving. */
    public void serverLeaving() {
        leavingServers.inc();
    }

    /** Counts an answer by which a server asked this node to send nothing for a time. */
    public void serverClosed() {
        serverClosures.inc();
    }

    /** Counts a request with a valid API key of a team. */
    public void teamRequest(String team) {
        teamRequests.labelValues(team).inc();
    }

    /** Counts a request that was rejected for its API key. */
    public void keyRejected(String reason) {
        rejectedKeys.labelValues(reason).inc();
    }

    /** Counts a request that was admitted within its team's quota. */
    public void quotaAdmitted(String team, long tokens, boolean withoutKeeper) {
        quotaTokens.labelValues(team).inc(tokens);
        if (withoutKeeper) {
            quotaWithoutKeeper.labelValues(team).inc();
        }
    }

    /** Counts a request that was refused for its team's quota. */
    public void quotaRefused(String team) {
        quotaRefused.labelValues(team).inc();
    }

    /** Sets the tokens in the teams' buckets; none if this node is not the keeper. */
    public void quotaTokensLeft(Map<String, Double> byTeam) {
        if (byTeam.isEmpty()) {
            quotaTokensLeft.clear();
        }
        byTeam.forEach((team, tokens) -> quotaTokensLeft.labelValues(team).set(tokens));
    }

    /** Counts an attempt for which no connection could be opened. */
    public void connectFailed(String cause) {
        failedConnects.labelValues(cause).inc();
    }

    /** Sets the number of servers that this node is cut off from. */
    public void serversCutOff(int count) {
        cutOffServers.set(count);
    }

    /** Sets the number of connections that this node relays. */
    public void relayedConnections(int count) {
        relayedConnections.set(count);
    }

    /** Counts a question of another node for a relayed connection. */
    public void relayAnswered(String outcome) {
        relayAnswers.labelValues(outcome.toLowerCase(Locale.ROOT)).inc();
    }

    public void connectionsOpened(int count) {
        connections.inc(count);
    }

    /** Counts an order to a runner by the runner's reply. */
    public void orderSent(String reply) {
        orders.labelValues(reply).inc();
    }

    /** Records a change of a server's speed by half. */
    public void capacityChanged(String service) {
        capacityChanges.labelValues(service).inc();
    }

    /** Records what is learned of the speed of a service's servers. */
    public void serviceCapacity(String service, double usual, double slowest, int servers) {
        usualCapacityFactor.labelValues(service).set(usual);
        slowestCapacityFactor.labelValues(service).set(slowest);
        learnedServers.labelValues(service).set(servers);
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] scrape() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return out.toByteArray();
    }
}
