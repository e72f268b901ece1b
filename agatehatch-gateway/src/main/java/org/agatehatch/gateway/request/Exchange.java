package org.agatehatch.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.agatehatch.api.fleet.FleetConfig;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.gateway.HeaderCodec;
import org.agatehatch.gateway.connection.CallerRequest;
import org.agatehatch.gateway.connection.RequestHandler;
import org.agatehatch.gateway.connection.ResponseSink;
import org.agatehatch.internal.request.AttemptEnd;
import org.agatehatch.internal.request.ForwardingStateMachine;
import org.agatehatch.internal.request.ServerChoice;
import org.agatehatch.internal.request.ServerChoiceRequest;
import org.agatehatch.internal.request.StreamOrigins;
import org.agatehatch.internal.version.RouteTable;

/**
 * One caller's request, from its arrival to the end of its response. Runs on the traffic thread.
 *
 * <p>The current attempt provides the response. While it is silent, a successor may be sent to another server. Its response is
 * held back until it has an event or is complete. The first of the two that delivers so much becomes or stays current and the
 * other is withdrawn, so that a silent attempt is given up only once another has taken over.
 */
public final class Exchange implements RequestHandler.InFlightRequest {

    private static final String PROCESS_ENDING = "process_ending";

    private final ExchangeContext context;
    private final CallerRequest request;
    private final ResponseSink sink;
    private final long arrivedMillis;
    private final Set<String> triedServerIds = new HashSet<>();
    private HeaderCodec.RequestMetadata metadata;
    private RouteSpec route;
    private TeamAccess access;
    private FleetConfig config;
    private String service = "";
    private final ServerSelection selection;
    private final ProcessCheck processCheck;
    private final StreamVersion streamVersion;
    private final ExchangeLog exchangeLog = new ExchangeLog(this);
    private final ServerOutcomes serverOutcomes = new ServerOutcomes(this);
    private final ServerWait serverWait;
    private ForwardingStateMachine machine;
    private ResponseRelay relay;
    private AttemptSender sender;
    private long deadlineMillis;
    private RequestCrashes crashes;
    private Optional<Attempt> currentAttempt = Optional.empty();
    private Optional<Attempt> successor = Optional.empty();
    private Optional<HeldResponse> heldFailure = Optional.empty();
    private Optional<Future<?>> deadlineTimer = Optional.empty();
    private long lastRetryAfterMillis;
    /** Number of sends of which it is settled that the server did not run them. */
    private int sendsNotRun;

    private boolean finished;

    public Exchange(ExchangeContext parts, CallerRequest request, ResponseSink sink) {
        this.context = parts;
        this.request = request;
        this.sink = sink;
        this.arrivedMillis = request.arrivedNanos() / 1_000_000;
        this.serverWait =
                new ServerWait(parts, () -> finished, this::startAttempt, this::refuseUnserved, this::patienceMillis);
        this.processCheck = new ProcessCheck(parts);
        this.streamVersion = new StreamVersion(processCheck);
        this.selection = new ServerSelection(parts, request.arrivedNanos(), this::chooseServer, this::patienceMillis);
    }

    /** Starts processing the request. */
    public void start() {
        context.metrics().requestStarted(request.readMillis());
        config = context.config().config();
        if (!config.known()) {
            refuse("no_configuration", context.timeouts().modelLoadRetryAfterMillis());
            return;
        }
        if (context.life().refusesRequests()) {
            refuse(PROCESS_ENDING, 0);
            return;
        }
        RouteTable routes = context.config().routes();
        Optional<RouteSpec> found = routes.find(
                request.head().headers().get(HttpHeaderNames.HOST, ""),
                request.head().uri());
        if (found.isEmpty() && !context.configViewRecent().getAsBoolean()) {
            // The route may have been added since, and callers send nothing again after a 404.
            refuse("route_not_known_yet", context.timeouts().modelLoadRetryAfterMillis());
            return;
        }
        if (found.isEmpty()) {
            respondLocally(HttpResponseStatus.NOT_FOUND, "no_route", OptionalLong.empty());
            return;
        }
        route = found.get();
        access = new TeamAccess(context, request.head(), route, routes, this::respondLocally);
        if (!access.authenticate()) {
            return;
        }
        try {
            metadata = context.headerCodec().readRequest(request.head());
        } catch (IllegalArgumentException e) {
            respondLocally(HttpResponseStatus.BAD_REQUEST, "bad_header: " + e.getMessage(), OptionalLong.empty());
            return;
        }
        startForwarding();
    }

    private void startForwarding() {
        service = TrafficSplit.pick(route.services(), context.random());
        machine = new ForwardingStateMachine(route, () -> context.retryBudget().tryTake(service));
        sender = new AttemptSender(context, request, route, access);
        relay = new ResponseRelay(sink, route.streaming() && route.resumable());
        crashes = new RequestCrashes(context.crashes(), request, metadata);
        long waitMillis = Math.min(metadata.timeoutMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
        deadlineMillis = arrivedMillis + waitMillis;
        if (crashes.isQuarantined()) {
            refuse("crashes_servers", route.timeoutMillis());
            return;
        }
        if (remainingMillis() <= 0) {
            refuse("deadline_passed", 0);
            return;
        }
        deadlineTimer =
                Optional.of(context.loop().schedule(this::onDeadline, remainingMillis(), TimeUnit.MILLISECONDS));
        access.admit(metadata.generation(), this::onAdmitted, this::onFault);
    }

    private void onAdmitted() {
        if (route.streaming() && route.resumable() && metadata.takeUp().isPresent()) {
            new StreamTakeUp(context, route, service, request.arrivedNanos(), metadata, this::onOrigin).start();
            return;
        }
        context.retryBudget().countRequest(service);
        startAttempt();
    }

    /** Ends a request whose forwarding failed with an exception. */
    private void onFault() {
        if (finished) {
            return;
        }
        if (machine.sendCount() > sendsNotRun) {
            machine.onAttemptEndBesideAnother(AttemptEnd.BROKEN);
        }
        abandonAttempts("internal_error");
        lastRetryAfterMillis = context.timeouts().modelLoadRetryAfterMillis();
        perform(machine.onNoServer(), "internal_error");
    }

    private void onOrigin(Optional<StreamOrigins.Origin> origin) {
        if (finished) {
            return;
        }
        if (origin.isEmpty()) {
            lastRetryAfterMillis = context.timeouts().modelLoadRetryAfterMillis();
            perform(machine.onNoServer(), "stream_origin_unknown");
            return;
        }
        service = origin.get().service();
        streamVersion.takeUp(origin.get().softwareVersion());
        context.retryBudget().countRequest(service);
        startAttempt();
    }

    @Override
    public void onCallerGone() {
        if (finished) {
            return;
        }
        abandonAttempts("caller gone");
        sink.onCallerGone();
        finish("caller_gone", 0);
    }

    @Override
    public void onWritabilityChanged(boolean writable) {
        currentAttempt.ifPresent(attempt -> attempt.setReading(writable));
        successor.ifPresent(attempt -> attempt.setReading(writable));
    }

    /** Answers a request that would be cut by the exit of the process. A response that has begun may still be completed. */
    @Override
    public void onProcessEnding() {
        if (!finished && !relay.started()) {
            endUnanswered(PROCESS_ENDING);
        }
    }

    private void startAttempt() {
        if (finished) {
            return;
        }
        if (!machine.mayHaveRun() && !context.life().outlasts(remainingMillis())) {
            // Another node can still serve it; a request that is sent now could be cut by the exit of the process.
            lastRetryAfterMillis = 0;
            perform(machine.onNoServer(), PROCESS_ENDING);
            return;
        }
        if (!access.stillAllowed()) {
            perform(machine.onNoServer(), TeamAccess.REVOKED);
            return;
        }
        if (streamVersion.isUndecided()) {
            streamVersion.whenDecided(this::startAttempt);
            return;
        }
        if (streamVersion.isUnknown() || !relay.mayGoOnElsewhere()) {
            perform(machine.onNoServer(), streamVersion.isUnknown() ? "stream_version_unknown" : "no_event_id");
            return;
        }
        Optional<String> blockingPart = crashes.blockingPart();
        if (blockingPart.isPresent()) {
            lastRetryAfterMillis = route.timeoutMillis();
            context.metrics().crashingPartRefused();
            perform(machine.onNoServer(), "crashing_prompt_part part=" + blockingPart.get());
            return;
        }
        selection.select(this::onChoice);
    }

    private void onChoice(ServerChoice choice) {
        if (finished) {
            return;
        }
        if (choice instanceof ServerChoice.Chosen chosen) {
            sendTo(chosen);
        } else if (choice instanceof ServerChoice.NotResident missing) {
            serverWait.onNotResident(service, missing);
        } else if (choice instanceof ServerChoice.Closed closed) {
            serverWait.onClosed(closed);
        } else if (choice instanceof ServerChoice.Unavailable unavailable) {
            lastRetryAfterMillis = unavailable.retryAfterMillis();
            countRefusedDemand();
            perform(machine.onNoServer(), unavailable.reason());
        }
    }

    private void sendTo(ServerChoice.Chosen chosen) {
        if (triedServerIds.isEmpty()) {
            metadata.generation()
                    .ifPresent(generation ->
                            context.demandMeter().add(service, generation, chosen.uncachedPromptTokens()));
        }
        Attempt attempt = new Attempt(this, chosen);
        currentAttempt = Optional.of(attempt);
        attempt.connect();
    }

    private ServerChoice chooseServer(Set<String> excludedServerIds) {
        Set<String> unavailableServerIds = new HashSet<>(triedServerIds);
        unavailableServerIds.addAll(excludedServerIds);
        return context.chooser()
                .choose(new ServerChoiceRequest(
                        route,
                        service,
                        metadata.generation(),
                        streamVersion.required(),
                        unavailableServerIds,
                        remainingMillis(),
                        patienceMillis(),
                        request.body().length));
    }

    /** Counts a request that could not be sent as demand too, since more runners may have to hold its model. */
    private void countRefusedDemand() {
        if (triedServerIds.isEmpty()) {
            metadata.generation().ifPresent(generation -> context.demandMeter().addRefused(service, generation));
        }
    }

    /** Continues after an attempt that ended by itself. Called at most once for each attempt. */
    void onAttemptEnd(Attempt attempt, AttemptEnd end, String cause) {
        triedServerIds.add(attempt.server().id());
        exchangeLog.ended(attempt, end.name(), cause);
        if (attempt.isSent() && !end.mayHaveRun()) {
            sendsNotRun++;
        }
        if (end == AttemptEnd.BROKEN) {
            exchangeLog.broken(attempt);
        }
        if (serverOutcomes.record(attempt, end)) {
            triedServerIds.remove(attempt.server().id());
        }
        if (end == AttemptEnd.REFUSED) {
            lastRetryAfterMillis = context.timeouts().overloadRetryAfterMillis();
        }
        if (successor.isPresent()) {
            machine.onAttemptEndBesideAnother(end);
            Attempt other = isSuccessor(attempt) ? currentAttempt.orElseThrow() : successor.get();
            currentAttempt = Optional.of(other);
            successor = Optional.empty();
            other.becomeCurrent();
            return;
        }
        currentAttempt = Optional.empty();
        perform(machine.onAttemptEnd(end), end.name().toLowerCase(Locale.ROOT));
    }

    boolean isSuccessor(Attempt attempt) {
        return successor.filter(attempt::equals).isPresent();
    }

    /** Keeps the error response of a successor for the case that no attempt provides a better one. */
    void holdFailure(HeldResponse response) {
        heldFailure = Optional.of(response);
    }

    /**
     * Called when an attempt has an event or a complete response for the caller, or when a successor's time beside the silent
     * attempt is over. The attempt becomes or stays current.
     */
    void onDelivery(Attempt attempt) {
        if (successor.isEmpty()) {
            return;
        }
        boolean takesOver = isSuccessor(attempt);
        Attempt other = takesOver ? currentAttempt.orElseThrow() : successor.get();
        currentAttempt = Optional.of(attempt);
        successor = Optional.empty();
        if (other.isSent()) {
            machine.onAttemptEndBesideAnother(AttemptEnd.SILENT);
        }
        other.abandon();
        if (takesOver) {
            exchangeLog.ended(other, AttemptEnd.SILENT.name(), "another server took over");
            attempt.becomeCurrent();
        } else {
            exchangeLog.ended(other, "ABANDONED", "the silent server went on");
        }
    }

    private void perform(ForwardingStateMachine.NextStep next, String reason) {
        switch (next) {
            case RETRY -> startAttempt();
            case DELIVER -> {
                relay.completeResponse();
                finish("answered", relay.status());
            }
            case REFUSE -> {
                if (access.revoked()) {
                    respondLocally(HttpResponseStatus.UNAUTHORIZED, TeamAccess.REVOKED, OptionalLong.empty());
                } else {
                    refuse(reason, lastRetryAfterMillis);
                }
            }
            case FAIL -> fail(HttpResponseStatus.BAD_GATEWAY, reason);
            case TIME_OUT -> fail(HttpResponseStatus.GATEWAY_TIMEOUT, reason);
            case CUT_OFF -> {
                // The rest of a reason holds figures and names, which would make a series of each.
                context.metrics().answerCut(reason.split(" ", 2)[0]);
                sink.abort();
                finish("cut_off " + reason, relay.status());
            }
        }
    }

    /**
     * Called when the current attempt has received no data for longer than its limit, and again while that lasts. The attempt
     * stays open, since it may still be answered; a successor is sent to another server if there is one.
     *
     * @param first whether this is the first call of this attempt
     */
    void onSilent(Attempt attempt, long quietMillis, boolean first) {
        if (first) {
            context.metrics().attemptSilent();
            context.chooser().failed(service, attempt.server().id());
        }
        if (successor.isPresent()) {
            return;
        }
        String next = startSuccessor(attempt);
        if (first || successor.isPresent()) {
            exchangeLog.silent(attempt, quietMillis, next);
        }
    }

    /** Sends a successor of a silent attempt if possible, and returns the server's id, or why there is none. */
    private String startSuccessor(Attempt silent) {
        if (!machine.maySendBesideOpenAttempt()) {
            return "no_attempts_left";
        }
        if (!relay.mayGoOnElsewhere()) {
            return "no_event_id";
        }
        if (streamVersion.isUndecided() || streamVersion.isUnknown()) {
            return "stream_version_unknown";
        }
        if (!context.retryBudget().isAvailable(service)) {
            return "no_retry_budget";
        }
        if (!access.stillAllowed()) {
            return TeamAccess.REVOKED;
        }
        if (crashes.blockingPart().isPresent()) {
            return "crashing_prompt_part";
        }
        triedServerIds.add(silent.server().id());
        ServerChoice choice = selection.selectUnlimited();
        if (choice instanceof ServerChoice.Chosen chosen) {
            context.retryBudget().tryTake(service);
            Attempt attempt = new Attempt(this, chosen);
            successor = Optional.of(attempt);
            attempt.connect();
            return chosen.server().id();
        }
        return choice instanceof ServerChoice.Unavailable unavailable
                ? unavailable.reason()
                : choice instanceof ServerChoice.Closed ? "servers_closed" : "not_resident";
    }

    private void onDeadline() {
        if (!finished) {
            endUnanswered("time_over");
        }
    }

    private void endUnanswered(String reason) {
        boolean sent = currentAttempt.map(Attempt::isSent).orElse(false)
                || successor.map(Attempt::isSent).orElse(false);
        abandonAttempts(reason);
        lastRetryAfterMillis = 0;
        perform(machine.onTimeout(sent), reason);
    }

    private void refuse(String reason, long retryAfterMillis) {
        respondLocally(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, OptionalLong.of(retryAfterMillis));
    }

    private void fail(HttpResponseStatus status, String reason) {
        if (!relay.started() && !relay.holdsCompleteResponse() && heldFailure.isPresent()) {
            heldFailure.get().replay(relay);
            relay.onEnd();
        }
        if (relay.holdsCompleteResponse()) {
            // An error response of a backend server tells the caller more than one of the gateway.
            relay.completeResponse();
            finish("answered_by_earlier_attempt " + reason, relay.status());
            return;
        }
        respondLocally(status, reason, OptionalLong.empty());
    }

    private void respondLocally(HttpResponseStatus status, String reason, OptionalLong retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        long remainingMillis = machine == null ? Long.MAX_VALUE : remainingMillis();
        retryAfterMillis.ifPresent(millis ->
                RetryAfter.write(headers, RetryAfter.ofRefusal(status, millis, remainingMillis, context.random())));
        if (status.equals(HttpResponseStatus.UNAUTHORIZED)) {
            context.headerCodec().writeChallenge(headers);
        }
        sink.respond(status, headers, new byte[0]);
        finish(reason, status.code());
    }

    private void finish(String outcome, int status) {
        finished = true;
        deadlineTimer.ifPresent(timer -> timer.cancel(false));
        if (access != null) {
            access.onRequestEnd(machine == null || machine.sendCount() == sendsNotRun);
        }
        long tookMillis = nowMillis() - arrivedMillis;
        context.metrics().requestEnded(status, tookMillis);
        boolean unremarkable = outcome.equals("answered") && status < 500 && machine.sendCount() == 1;
        if (!unremarkable && (access == null || !access.deniedInTeamLog())) {
            exchangeLog.requestEnded(
                    outcome,
                    status,
                    config.version(),
                    machine == null ? 0 : machine.sendCount(),
                    machine != null && machine.mayHaveRun(),
                    request.readMillis(),
                    tookMillis);
        }
    }

    private void abandonAttempts(String cause) {
        List<Attempt> open =
                Stream.of(currentAttempt, successor).flatMap(Optional::stream).toList();
        currentAttempt = Optional.empty();
        successor = Optional.empty();
        open.forEach(attempt -> {
            attempt.abandon();
            exchangeLog.ended(attempt, "ABANDONED", cause);
        });
    }

    void onSent(Attempt attempt) {
        machine.onSent();
        attempt.setReading(sink.isWritable());
        if (isSuccessor(attempt) && metadata.generation().isPresent()) {
            context.loop()
                    .schedule(() -> endOverlap(attempt), context.timeouts().maxOverlapMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Leaves the request to a successor that has neither refused it nor failed so far. The silent engine may still work on the
     * request, and would go on beside the successor.
     */
    private void endOverlap(Attempt attempt) {
        if (isSuccessor(attempt)) {
            onDelivery(attempt);
        }
    }

    void onResponseStarted(Attempt attempt) {
        machine.onResponseStarted();
        if (route.resumable()) {
            streamVersion.begin(
                    attempt.server(),
                    attempt.processSinceNanos(),
                    version -> context.streamOrigins()
                            .begun(
                                    metadata.attemptId(),
                                    new StreamOrigins.Origin(service, version),
                                    StreamTakeUp.spanMillis(route)));
        }
    }

    ExchangeContext context() {
        return context;
    }

    HeaderCodec.RequestMetadata metadata() {
        return metadata;
    }

    RouteSpec route() {
        return route;
    }

    FleetConfig config() {
        return config;
    }

    ResponseRelay relay() {
        return relay;
    }

    TeamAccess access() {
        return access;
    }

    ProcessCheck processCheck() {
        return processCheck;
    }

    StreamVersion streamVersion() {
        return streamVersion;
    }

    AttemptSender sender() {
        return sender;
    }

    String service() {
        return service;
    }

    RequestCrashes crashes() {
        return crashes;
    }

    long nowMillis() {
        return context.clock().millis();
    }

    /** Returns the time until the caller gives up unless something of the answer arrives. */
    private long patienceMillis() {
        return relay.started()
                ? remainingMillis()
                : Math.min(remainingMillis(), arrivedMillis + route.patienceMillis() - nowMillis());
    }

    long remainingMillis() {
        return deadlineMillis - nowMillis();
    }

    private void refuseUnserved(String reason, long retryAfterMillis) {
        lastRetryAfterMillis = retryAfterMillis;
        countRefusedDemand();
        perform(machine.onNoServer(), reason);
    }
}
