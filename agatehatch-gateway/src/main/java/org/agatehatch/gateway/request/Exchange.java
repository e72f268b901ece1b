package org.agatehatch.gateway.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.fleet.FleetConfig;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.fleet.WeightedService;
import org.agatehatch.gateway.RequestDialect;
import org.agatehatch.gateway.connection.BackendConnection;
import org.agatehatch.gateway.connection.BackendPool;
import org.agatehatch.gateway.connection.CallerRequest;
import org.agatehatch.gateway.connection.CallerSink;
import org.agatehatch.gateway.connection.RequestHandler;
import org.agatehatch.internal.request.AttemptEnd;
import org.agatehatch.internal.request.ForwardingStateMachine;
import org.agatehatch.internal.request.RequestHash;
import org.agatehatch.internal.request.ServerChoice;
import org.agatehatch.internal.request.ServerChoiceRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One caller's request, from its arrival to the end of its answer. Runs on the traffic thread. */
public final class Exchange implements RequestHandler.Work {
    private static final Logger log = LoggerFactory.getLogger(Exchange.class);

    /** Times that a request asks for something that no runner holds before it is refused. */
    private static final int MAX_RESIDENCY_WAITS = 3;

    private static final int URGENCIES_PER_PRIORITY = 2;
    private static final int LOWEST_URGENCY = 9;

    /** Random part of the time after which refused callers come back. */
    private static final double RETRY_SPREAD = 0.8;

    /** Callers follow a time to come back up to a third of what they have left. */
    private static final int LEFT_PARTS = 3;

    /** Target above which a request yields to others of its priority. */
    private static final long PATIENT_TARGET_MILLIS = 1_000;

    private final ExchangeParts parts;
    private final CallerRequest request;
    private final CallerSink sink;
    private final long arrivedMillis;
    private final Set<String> tried = new HashSet<>();
    private RequestDialect.CallerTerms terms;
    private RouteSpec route;
    private FleetConfig config;
    private String service = "";
    private ForwardingStateMachine machine;
    private AnswerRelay relay;
    private long deadlineMillis;
    private long fingerprint;
    private Optional<Attempt> running = Optional.empty();
    private Optional<Future<?>> deadlineTimer = Optional.empty();
    private int residencyWaits;
    private long lastRetryAfterMillis;
    private boolean over;

    public Exchange(ExchangeParts parts, CallerRequest request, CallerSink sink) {
        this.parts = parts;
        this.request = request;
        this.sink = sink;
        this.arrivedMillis = request.arrivedNanos() / 1_000_000;
    }

    /** Starts the work. */
    public void start() {
        parts.metrics().requestStarted();
        config = parts.config().config();
        if (!config.known()) {
            refuse("no_configuration", parts.times().modelRetryMillis());
            return;
        }
        if (parts.refusing().getAsBoolean()) {
            refuse("process_ending", 0);
            return;
        }
        Optional<RouteSpec> found = parts.config()
                .routes()
                .find(
                        request.head().headers().get(HttpHeaderNames.HOST, ""),
                        request.head().uri());
        if (found.isEmpty()) {
            answerOwn(HttpResponseStatus.NOT_FOUND, "no_route", OptionalLong.empty());
            return;
        }
        route = found.get();
        try {
            terms = parts.dialect().readCaller(request.head());
        } catch (IllegalArgumentException e) {
            answerOwn(HttpResponseStatus.BAD_REQUEST, "bad_header: " + e.getMessage(), OptionalLong.empty());
            return;
        }
        begin();
    }

    private void begin() {
        service = pickService();
        machine = new ForwardingStateMachine(route, () -> parts.retries().tryTake(service));
        relay = new AnswerRelay(sink, route.streaming() && route.resumable());
        fingerprint =
                RequestHash.of(request.head().method().name(), request.head().uri(), request.body());
        long waitMillis = Math.min(terms.deadlineMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
        deadlineMillis = arrivedMillis + waitMillis;
        if (parts.crashes().isQuarantined(fingerprint)) {
            refuse("crashes_servers", route.timeoutMillis());
            return;
        }
        if (leftMillis() <= 0) {
            refuse("deadline_passed", 0);
            return;
        }
        parts.retries().countRequest(service);
        deadlineTimer = Optional.of(parts.loop().schedule(this::onTimeOver, leftMillis(), TimeUnit.MILLISECONDS));
        attempt();
    }

    @Override
    public void onCallerGone() {
        if (over) {
            return;
        }
        running.ifPresent(attempt -> abandon(attempt, "caller gone"));
        sink.callerGone();
        finish("caller_gone", 0);
    }

    @Override
    public void onWritabilityChanged(boolean writable) {
        running.ifPresent(attempt -> attempt.reading(writable));
    }

    private void attempt() {
        if (over) {
            return;
        }
        ServerChoiceRequest query = new ServerChoiceRequest(
                route, service, terms.generation(), Set.copyOf(tried), leftMillis(), request.body().length);
        ServerChoice choice = parts.chooser().choose(query);
        if (choice instanceof ServerChoice.Chosen chosen) {
            if (tried.isEmpty()) {
                terms.generation()
                        .ifPresent(
                                generation -> parts.demand().add(service, generation, chosen.uncachedPromptTokens()));
            }
            Attempt attempt = new Attempt(this, chosen);
            running = Optional.of(attempt);
            attempt.connect();
        } else if (choice instanceof ServerChoice.NotResident missing) {
            onNotResident(missing);
        } else if (choice instanceof ServerChoice.Unavailable unavailable) {
            lastRetryAfterMillis = unavailable.retryAfterMillis();
            countRefused();
            act(machine.onNoServer(), unavailable.reason());
        }
    }

    private void onNotResident(ServerChoice.NotResident missing) {
        if (++residencyWaits > MAX_RESIDENCY_WAITS) {
            refuseNotResident(missing, parts.times().modelRetryMillis());
            return;
        }
        parts.residency()
                .want(service, missing.model(), missing.adapter())
                .whenComplete((readyInMillis, failure) ->
                        parts.loop().execute(() -> onResidencyAnswer(missing, failure == null ? readyInMillis : -1)));
    }

    /** Waits for what will be there in good time; otherwise the caller is told when to come back. */
    private void onResidencyAnswer(ServerChoice.NotResident missing, long readyInMillis) {
        if (over) {
            return;
        }
        if (readyInMillis < 0) {
            refuseNotResident(missing, parts.times().modelRetryMillis());
        } else if (readyInMillis == 0) {
            attempt();
        } else if (readyInMillis > Math.min(parts.times().residencyWaitMillis(), leftMillis() / 3)) {
            refuseNotResident(missing, readyInMillis);
        } else {
            parts.loop().schedule(this::attempt, readyInMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void refuseNotResident(ServerChoice.NotResident missing, long retryAfterMillis) {
        lastRetryAfterMillis = retryAfterMillis;
        countRefused();
        act(machine.onNoServer(), "not_resident model=" + missing.model() + " adapter=" + missing.adapter());
    }

    /** What could not be sent is asked for all the same, and more runners may have to hold its model. */
    private void countRefused() {
        if (tried.isEmpty()) {
            terms.generation().ifPresent(generation -> parts.demand().addRefused(service, generation));
        }
    }

    /** Goes on after an attempt. Called once for each. */
    void onAttemptEnd(Attempt attempt, AttemptEnd end, String cause) {
        running = Optional.empty();
        tried.add(attempt.server().id());
        logAttempt(attempt, end.name(), cause);
        if (end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.BROKEN || end == AttemptEnd.SILENT) {
            parts.chooser().failed(service, attempt.server().id());
        }
        if (end == AttemptEnd.NOT_CONNECTED && attempt.connectRefused()) {
            parts.crashes().processDied(attempt.server().processKey());
        }
        if (end == AttemptEnd.BROKEN) {
            parts.crashes().connectionBroken(fingerprint, attempt.server().processKey());
        }
        if (end == AttemptEnd.MISDIRECTED && terms.generation().isPresent()) {
            parts.chooser().markNotResident(attempt.server(), terms.generation().get());
            // Another runner may hold it, or this one once it is loaded.
            tried.remove(attempt.server().id());
        }
        if (end == AttemptEnd.REFUSED) {
            lastRetryAfterMillis = parts.times().refusedRetryMillis();
        }
        act(machine.onAttemptEnd(end), end.name().toLowerCase(Locale.ROOT));
    }

    private void act(ForwardingStateMachine.NextStep next, String reason) {
        switch (next) {
            case RETRY -> attempt();
            case DELIVER -> {
                relay.deliver();
                finish("answered", relay.status());
            }
            case REFUSE -> refuse(reason, lastRetryAfterMillis);
            case FAIL -> fail(HttpResponseStatus.BAD_GATEWAY, reason);
            case TIME_OUT -> fail(HttpResponseStatus.GATEWAY_TIMEOUT, reason);
            case CUT_OFF -> {
                sink.cutOff();
                finish("cut_off " + reason, relay.status());
            }
        }
    }

    private void onTimeOver() {
        if (over) {
            return;
        }
        boolean sent = running.map(Attempt::sent).orElse(false);
        running.ifPresent(attempt -> abandon(attempt, "time over"));
        running = Optional.empty();
        lastRetryAfterMillis = 0;
        act(machine.onTimeout(sent), "time_over");
    }

    private void refuse(String reason, long retryAfterMillis) {
        answerOwn(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, OptionalLong.of(spread(retryAfterMillis)));
    }

    /** Callers that are refused together should not come back together, and none too late to be served. */
    private long spread(long retryAfterMillis) {
        long spread = (long) (retryAfterMillis * (1 + parts.random().nextDouble() * RETRY_SPREAD));
        return machine == null ? spread : Math.min(spread, Math.max(0, leftMillis() / LEFT_PARTS));
    }

    private void fail(HttpResponseStatus status, String reason) {
        if (relay.holdsAnswer()) {
            // A failure that a server has answered says more than one of our own.
            relay.deliver();
            finish("answered_by_earlier_attempt " + reason, relay.status());
            return;
        }
        answerOwn(status, reason, OptionalLong.empty());
    }

    private void answerOwn(HttpResponseStatus status, String reason, OptionalLong retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        retryAfterMillis.ifPresent(millis -> headers.set(
                HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", Math.max(0, millis) / 1_000.0)));
        sink.answer(status, headers, new byte[0]);
        finish(reason, status.code());
    }

    private void finish(String outcome, int status) {
        over = true;
        deadlineTimer.ifPresent(timer -> timer.cancel(false));
        long tookMillis = nowMillis() - arrivedMillis;
        parts.metrics().requestEnded(status, tookMillis);
        boolean plain = outcome.equals("answered") && status < 500 && machine.sendCount() == 1;
        if (!plain) {
            log.info(
                    "event=request_ended id={} route={} service={} config={} status={} outcome=\"{}\" sends={} may_have_run={} took_ms={}",
                    terms == null ? "-" : terms.attemptId(),
                    route == null ? "-" : route.name(),
                    service,
                    config.version(),
                    status,
                    outcome,
                    machine == null ? 0 : machine.sendCount(),
                    machine != null && machine.mayHaveRun(),
                    tookMillis);
        }
    }

    private void abandon(Attempt attempt, String cause) {
        attempt.abandon();
        logAttempt(attempt, "ABANDONED", cause);
    }

    private void logAttempt(Attempt attempt, String end, String cause) {
        log.info(
                "event=attempt id={} service={} server={} choice=\"{}\" predicted_ms={} first_ms={} took_ms={} end={} cause=\"{}\"",
                terms.attemptId(),
                service,
                attempt.server().id(),
                attempt.choice().reason(),
                Math.round(attempt.choice().predictedMillis()),
                attempt.firstMillis(),
                attempt.tookMillis(),
                end,
                cause);
    }

    /** Builds the request as a backend server gets it: as the caller sent it, but for headers of one connection. */
    DefaultFullHttpRequest attemptRequest(ServerEntry server) {
        DefaultFullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.head().method(),
                request.head().uri(),
                Unpooled.wrappedBuffer(request.body()));
        HttpHeaders headers = ConnectionHeaders.withoutHopByHop(request.head().headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        boolean hasBody = request.body().length > 0
                || request.head().headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || request.head().headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        OptionalLong left = OptionalLong.of(Math.max(1, leftMillis()));
        parts.dialect()
                .writeAttempt(
                        headers, new RequestDialect.AttemptTerms(left, server.id(), urgency(), relay.lastEventId()));
        copy.headers().set(headers);
        return copy;
    }

    void acquire(ServerEntry server, BackendPool.Acquirer acquirer) {
        long maxIdleMillis = route.repeatable() ? Long.MAX_VALUE : parts.times().freshIdleMillis();
        parts.pool().acquire(server.address(), server.processKey(), maxIdleMillis, acquirer);
    }

    void onSent(BackendConnection connection) {
        machine.onSent();
        if (!sink.writable()) {
            connection.reading(false);
        }
    }

    void onAnswerBegun() {
        machine.onResponseStarted();
    }

    ExchangeParts parts() {
        return parts;
    }

    RequestDialect.CallerTerms terms() {
        return terms;
    }

    RouteSpec route() {
        return route;
    }

    AnswerRelay relay() {
        return relay;
    }

    String service() {
        return service;
    }

    long fingerprint() {
        return fingerprint;
    }

    long cacheTokens() {
        return Optional.ofNullable(config.services().get(service))
                .flatMap(found -> found.engine())
                .map(engine -> engine.kvCacheTokens())
                .orElse(0L);
    }

    long nowMillis() {
        return parts.clock().millis();
    }

    private long leftMillis() {
        return deadlineMillis - nowMillis();
    }

    private int urgency() {
        int base = route.priority() * URGENCIES_PER_PRIORITY;
        return Math.min(LOWEST_URGENCY, base + (route.targetMillis() > PATIENT_TARGET_MILLIS ? 1 : 0));
    }

    private String pickService() {
        List<WeightedService> services = route.services();
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double point = parts.random().nextDouble() * total;
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
