package org.agatehatch.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.gateway.HeaderCodec;
import org.agatehatch.gateway.connection.BackendConnection;
import org.agatehatch.gateway.connection.BackendConnectionPool;
import org.agatehatch.gateway.connection.ResponseEnd;
import org.agatehatch.gateway.connection.ResponseListener;
import org.agatehatch.internal.connection.ServerLoad;
import org.agatehatch.internal.process.CrashingPartDetector;
import org.agatehatch.internal.request.AttemptEnd;
import org.agatehatch.internal.request.ServerChoice;

/** One attempt to run a request at one backend server. */
final class Attempt implements ResponseListener, BackendConnectionPool.AcquireListener {
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int FIRST_REDIRECT_STATUS = 300;

    private final Exchange exchange;
    private final ServerChoice.Chosen choice;
    private final ServerLoad load;
    private final long startedMillis;
    private final ReadTiming readTiming = new ReadTiming();
    private Optional<BackendConnection> connection = Optional.empty();
    private Optional<AttemptEnd> declaredEnd = Optional.empty();
    private Optional<HeldResponse> held = Optional.empty();
    private Optional<Future<?>> silenceTimer = Optional.empty();
    private long lastReceivedMillis;
    private long heldBytes;
    private long firstByteMillis = -1;
    private boolean promptReadCounted;
    private boolean headReceived;
    private boolean successful;
    private boolean resumed;
    private boolean stream;
    private boolean survived;
    private boolean connectRefused;
    private boolean closedServer;
    private boolean reading = true;
    private boolean silenceReported;
    private boolean ended;

    Attempt(Exchange exchange, ServerChoice.Chosen choice) {
        this.exchange = exchange;
        this.choice = choice;
        this.load = exchange.context().chooser().load(choice.server().id());
        this.startedMillis = exchange.nowMillis();
    }

    void connect() {
        load.recordSent(choice.loadTokens());
        exchange.metadata()
                .generation()
                .ifPresent(generation -> exchange.context().demandMeter().requestSent(server().service(), generation));
        exchange.sender().acquire(choice.server(), exchange.remainingMillis(), this);
    }

    /** Abandons the attempt and closes its connection, upon which the server stops working on the request. */
    void abandon() {
        if (ended) {
            return;
        }
        if (firstByteMillis < 0 && elapsedMillis() > choice.predictedMillis()) {
            // Without this sample, a server that never answers before callers give up would keep its earlier low
            // latency. A shorter wait says nothing about the server.
            load.recordDelay(elapsedMillis() - choice.baselineMillis());
        }
        close();
        connection.ifPresent(BackendConnection::abort);
    }

    void setReading(boolean on) {
        if (on && !reading) {
            lastReceivedMillis = exchange.nowMillis();
            readTiming.onReadingResumed(lastReceivedMillis);
        }
        reading = on;
        connection.ifPresent(open -> open.setReading(on));
    }

    boolean isSent() {
        return connection.isPresent();
    }

    /** Returns whether the server's host refused the connection, which, unlike a timeout, proves that no process listens. */
    boolean connectRefused() {
        return connectRefused;
    }

    /** Returns whether the server answered that it wants no requests from this node for a time. */
    boolean closedServer() {
        return closedServer;
    }

    /** Returns whether the attempt was silent for longer than its limit, which counted as a failure of the server. */
    boolean wasSilent() {
        return silenceReported;
    }

    /** Returns whether the server is known to have survived the beginning of the answer. */
    boolean survived() {
        return survived;
    }

    /** Returns how much of the answer has arrived, for logs and metrics. */
    String answerProgress() {
        if (firstByteMillis >= 0) {
            return "body";
        }
        return headReceived ? "head" : "nothing";
    }

    /** Returns how the attempt came by its connection, for logs: {@code none}, {@code new}, {@code reused} or a relay. */
    String connectionOrigin() {
        return connection
                .map(open -> open.relayName()
                        .map(relay -> "via/" + relay)
                        .orElse(open.requestCount() == 1 ? "new" : "reused"))
                .orElse("none");
    }

    ServerEntry server() {
        return choice.server();
    }

    /** Returns a time at which the process that the request was sent to listened. */
    long processSinceNanos() {
        return connection.orElseThrow().processSinceNanos();
    }

    ServerChoice.Chosen choice() {
        return choice;
    }

    long firstByteMillis() {
        return firstByteMillis;
    }

    long elapsedMillis() {
        return exchange.nowMillis() - startedMillis;
    }

    @Override
    public void onConnection(BackendConnection acquired) {
        if (ended) {
            acquired.release();
            return;
        }
        if (exchange.streamVersion().required().isEmpty()) {
            send(acquired);
            return;
        }
        // The server may have started again with another version since its entry was read.
        exchange.processCheck()
                .check(
                        server(),
                        acquired.processSinceNanos(),
                        exchange.streamVersion()::isOfVersion,
                        confirmed -> onVersionChecked(acquired, confirmed));
    }

    private void onVersionChecked(BackendConnection acquired, boolean confirmed) {
        if (ended || !confirmed) {
            acquired.release();
            end(AttemptEnd.WITHDRAWN, "software version not confirmed");
        } else if (!acquired.isOpen()) {
            end(AttemptEnd.NOT_CONNECTED, "connection closed before the send");
        } else {
            send(acquired);
        }
    }

    private void send(BackendConnection acquired) {
        if (!exchange.context().availability().maySend(server())) {
            acquired.release();
            end(AttemptEnd.WITHDRAWN, "server leaving or closed");
            return;
        }
        if (!exchange.access().stillAllowed()) {
            acquired.release();
            end(AttemptEnd.WITHDRAWN, TeamAccess.REVOKED);
            return;
        }
        connection = Optional.of(acquired);
        exchange.onSent(this);
        readTiming.onSent(exchange.nowMillis());
        if (exchange.context().serverLimits().perSecond(server().processKey()).isPresent()) {
            exchange.context().metrics().sentToLimitedServer();
        }
        startSilenceTimer();
        resumed = !exchange.relay().lastEventId().isEmpty();
        exchange.sender()
                .send(
                        acquired,
                        server(),
                        exchange.remainingMillis(),
                        exchange.relay().lastEventId(),
                        this);
    }

    @Override
    public void onFailure(Throwable cause) {
        connectRefused = BackendConnectionPool.isRefusal(cause);
        exchange.context().metrics().connectFailed(connectRefused ? "refused" : "timed_out");
        end(AttemptEnd.NOT_CONNECTED, String.valueOf(cause.getMessage()));
    }

    @Override
    public Disposition onHead(HttpResponse head) {
        HeaderCodec.ResponseMetadata terms = exchange.context().headerCodec().readResponse(head);
        recordAvailability(terms);
        boolean forOtherAttempt = !terms.attemptId().isEmpty()
                && !terms.attemptId().equals(exchange.metadata().attemptId());
        if (forOtherAttempt) {
            exchange.context().metrics().responseSkipped();
            return Disposition.SKIP;
        }
        headReceived = true;
        if (!isOwn(terms)) {
            abort(AttemptEnd.BROKEN, "response without an attempt id on a reused connection");
            return Disposition.ACCEPT;
        }
        closedServer = terms.closedForMillis().isPresent() && !terms.misdirected();
        lastReceivedMillis = exchange.nowMillis();
        readTiming.onRead(lastReceivedMillis);
        int status = head.status().code();
        recordLimit(terms);
        if (terms.declaredNotRun() || terms.misdirected()) {
            declaredEnd = Optional.of(terms.misdirected() ? AttemptEnd.MISDIRECTED : AttemptEnd.REFUSED);
            recordTurnedAway(terms);
            return Disposition.ACCEPT;
        }
        successful = status < FIRST_REDIRECT_STATUS;
        if (successful && !terms.sealed()) {
            abort(AttemptEnd.BROKEN, "success response without the server's signature");
            return Disposition.ACCEPT;
        }
        if (exchange.relay().started() && !exchange.relay().isContinuedBy(head)) {
            abort(AttemptEnd.BROKEN, "status " + status + " in place of the rest of the stream");
            return Disposition.ACCEPT;
        }
        stream = successful && exchange.route().streaming();
        if (exchange.isSuccessor(this)) {
            held = Optional.of(new HeldResponse(head, stream));
        } else {
            exchange.relay().onHead(head, stream);
        }
        return Disposition.ACCEPT;
    }

    /** A response without an id may belong to an earlier request of its connection if there was one. */
    private boolean isOwn(HeaderCodec.ResponseMetadata terms) {
        boolean firstOnConnection =
                connection.map(open -> open.requestCount() == 1).orElse(false);
        return !terms.attemptId().isEmpty() || firstOnConnection;
    }

    /** Any answer of the server itself counts, also a late one to another attempt. */
    private void recordAvailability(HeaderCodec.ResponseMetadata terms) {
        if (terms.misdirected()) {
            return;
        }
        if (terms.leaving()) {
            exchange.context().availability().recordLeaving(server());
        }
        if (terms.closedForMillis().isPresent()) {
            exchange.context()
                    .availability()
                    .recordClosed(server(), terms.closedForMillis().getAsLong());
        }
    }

    private void recordTurnedAway(HeaderCodec.ResponseMetadata terms) {
        if (!terms.misdirected() && terms.maxTurnedAwayPerSecond().isPresent()) {
            double maxPerSecond = terms.maxTurnedAwayPerSecond().getAsDouble();
            exchange.context().chooser().rooms().turnedAway(server().processKey(), maxPerSecond);
        }
    }

    /** Only an answer with the server's signature shows by the absence of a limit that the server has none. */
    private void recordLimit(HeaderCodec.ResponseMetadata terms) {
        if (!terms.misdirected() && (terms.sealed() || terms.limitPerSecond().isPresent())) {
            exchange.context().serverLimits().answered(server(), terms.limitPerSecond(), startedMillis);
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        lastReceivedMillis = exchange.nowMillis();
        readTiming.onRead(lastReceivedMillis);
        if (ended || declaredEnd.isPresent()) {
            return;
        }
        if (!hold(content.readableBytes())) {
            exchange.context().metrics().responseMemoryExhausted();
            abort(AttemptEnd.BROKEN, "the responses of the server take too much memory");
            return;
        }
        onFirstByte();
        if (sinceFirstByteMillis() >= CrashingPartDetector.SURVIVAL_MILLIS) {
            recordSurvival();
        }
        relayOrHold(content);
        if (held.map(HeldResponse::holdsStatusLine)
                .orElseGet(() -> exchange.relay().holdsStatusLine())) {
            abort(AttemptEnd.BROKEN, "head of another response within the stream");
        }
    }

    private void relayOrHold(ByteBuf content) {
        if (held.isPresent()) {
            if (held.get().add(content)) {
                exchange.onDelivery(this);
            }
            return;
        }
        if (exchange.relay().onContent(content)) {
            releaseHeld();
            exchange.onResponseStarted(this);
            exchange.onDelivery(this);
        }
    }

    /** Takes memory for a chunk that the caller does not get at once, and returns whether there is enough. */
    private boolean hold(int bytes) {
        boolean relayedAtOnce = stream && held.isEmpty() && !exchange.route().resumable();
        if (relayedAtOnce) {
            return true;
        }
        boolean taken = exchange.context().responseMemory().tryTake(server().processKey(), bytes);
        heldBytes += taken ? bytes : 0;
        return taken;
    }

    private void releaseHeld() {
        exchange.context().responseMemory().release(server().processKey(), heldBytes);
        heldBytes = 0;
    }

    /** Passes what was held back of the response to the caller. Called when a successor becomes the current attempt. */
    void becomeCurrent() {
        Optional<HeldResponse> response = held;
        held = Optional.empty();
        if (response.isPresent() && response.get().replay(exchange.relay())) {
            exchange.onResponseStarted(this);
            exchange.relay().flush();
        }
    }

    @Override
    public void onReadComplete() {
        if (ended) {
            return;
        }
        if (declaredEnd.isPresent()) {
            // The head settles the outcome, so the caller does not wait for the rest of the response.
            connection.ifPresent(BackendConnection::discardRest);
            end(declaredEnd.get(), "declared in the head");
            return;
        }
        exchange.relay().flush();
    }

    @Override
    public void onEnd(ResponseEnd end) {
        if (ended) {
            return;
        }
        if (declaredEnd.isPresent()) {
            end(declaredEnd.get(), "status " + exchange.relay().status());
            return;
        }
        if (end == ResponseEnd.FRAMING) {
            complete("");
            return;
        }
        ClosePosition position = closePosition();
        exchange.context().metrics().answerEndedByClose(position.label());
        if (position == ClosePosition.NO_EVENT || position == ClosePosition.WITHIN_EVENT) {
            end(AttemptEnd.BROKEN, "connection closed " + position.label());
            return;
        }
        readTiming.onRead(exchange.nowMillis());
        silenceTimer.ifPresent(timer -> timer.cancel(false));
        // The connections of a process that dies close in the same way as those of one that has finished its answer.
        exchange.context().serverProbe().probe(server(), result -> onProbed(result, position));
    }

    private void onProbed(ServerProbe.Result result, ClosePosition position) {
        if (ended) {
            return;
        }
        if (result != ServerProbe.Result.LISTENS) {
            endInDoubt(position, result.name().toLowerCase(Locale.ROOT));
        } else if (readTiming.allowsRestart(exchange.nowMillis())) {
            exchange.processCheck().check(server(), exchange.context().clock().nanos(), server()::sameProcess, same -> {
                if (same) {
                    completeClosed(position);
                } else {
                    endInDoubt(position, "process unknown");
                }
            });
        } else {
            completeClosed(position);
        }
    }

    private void completeClosed(ClosePosition position) {
        if (!ended) {
            complete(" ended_by=close " + position.label());
        }
    }

    private void endInDoubt(ClosePosition position, String serverState) {
        if (!ended) {
            exchange.context().metrics().answerInDoubt();
            end(AttemptEnd.BROKEN, "connection closed " + position.label() + ", server " + serverState);
        }
    }

    private ClosePosition closePosition() {
        if (stream && firstByteMillis < 0) {
            return ClosePosition.NO_EVENT;
        }
        boolean withinEvent = held.map(HeldResponse::endsWithinEvent)
                .orElseGet(() -> exchange.relay().endsWithinEvent());
        if (withinEvent) {
            return ClosePosition.WITHIN_EVENT;
        }
        return stream ? ClosePosition.AFTER_EVENT : ClosePosition.BODY;
    }

    /** Ends the attempt with a response that is known to be whole. */
    private void complete(String remark) {
        onFirstByte();
        if (held.isPresent() && !endHeldResponse(held.get())) {
            return;
        }
        if (!exchange.relay().onEnd()) {
            end(AttemptEnd.BROKEN, "stream ended within an event, or before the last one that was delivered");
            return;
        }
        boolean failed = exchange.relay().status() >= FIRST_SERVER_ERROR_STATUS;
        load.recordAnswer(failed);
        if (!failed) {
            exchange.onDelivery(this);
            exchange.context().chooser().succeeded(exchange.service(), server().id(), unexplainedLatencyMillis());
            exchange.crashes().answered();
            exchange.metadata().generation().ifPresent(generation -> {
                exchange.context().demandMeter().answered(generation, sinceFirstByteMillis());
                if (showsSpeed() && !resumed) {
                    exchange.context().chooser().capacity().outputEnded(choice.expectation(), sinceFirstByteMillis());
                }
            });
            recordSurvival();
        }
        end(
                failed ? AttemptEnd.SERVER_ERROR : AttemptEnd.ANSWERED,
                "status " + exchange.relay().status() + remark);
    }

    /** Ends the complete response of a successor and returns whether it is delivered to the caller. */
    private boolean endHeldResponse(HeldResponse response) {
        if (response.endsWithinEvent()) {
            end(AttemptEnd.BROKEN, "stream ended in the middle of an event");
            return false;
        }
        if (response.status() >= FIRST_SERVER_ERROR_STATUS) {
            load.recordAnswer(true);
            exchange.holdFailure(response);
            end(AttemptEnd.SERVER_ERROR, "status " + response.status());
            return false;
        }
        exchange.onDelivery(this);
        return true;
    }

    @Override
    public void onConnectionError(String cause) {
        end(declaredEnd.orElse(AttemptEnd.BROKEN), cause + (headReceived ? " after the head" : " before any answer"));
    }

    private void abort(AttemptEnd end, String cause) {
        connection.ifPresent(BackendConnection::abort);
        end(end, cause);
    }

    private void end(AttemptEnd end, String cause) {
        if (ended) {
            return;
        }
        close();
        exchange.onAttemptEnd(this, end, cause);
    }

    private void close() {
        ended = true;
        releaseHeld();
        silenceTimer.ifPresent(timer -> timer.cancel(false));
        countPromptRead();
        load.recordEnd();
        exchange.metadata()
                .generation()
                .ifPresent(generation -> exchange.context().demandMeter().requestEnded(server().service(), generation));
    }

    private void recordSurvival() {
        if (!survived) {
            survived = true;
            exchange.crashes().answerSurvived(startedMillis + firstByteMillis);
        }
    }

    private long sinceFirstByteMillis() {
        return elapsedMillis() - firstByteMillis;
    }

    private void onFirstByte() {
        if (firstByteMillis >= 0) {
            return;
        }
        firstByteMillis = elapsedMillis();
        countPromptRead();
        exchange.context().chooser().answerBegun(choice, firstByteMillis, showsSpeed());
        exchange.metadata()
                .generation()
                .ifPresent(
                        generation -> exchange.context().chooser().recordPrefill(server(), generation, cacheTokens()));
        exchange.context().metrics().firstByteReceived(firstByteMillis);
    }

    /** Without a stream, a generation's first byte tells of its whole output. */
    private boolean showsSpeed() {
        return successful && (stream || exchange.metadata().generation().isEmpty());
    }

    private void countPromptRead() {
        if (!promptReadCounted) {
            promptReadCounted = true;
            load.recordPrefillEnd(choice.loadTokens());
        }
    }

    /** Time to the first byte beyond what known work and network distance explain. */
    private double unexplainedLatencyMillis() {
        return Math.max(0, firstByteMillis - choice.baselineMillis());
    }

    /** Only a repeatable request is timed, since only it can be retried at another server. */
    private void startSilenceTimer() {
        if (!exchange.route().repeatable()) {
            return;
        }
        lastReceivedMillis = exchange.nowMillis();
        scheduleSilenceCheck(SilenceLimits.firstByteMillis(exchange, choice));
    }

    private void scheduleSilenceCheck(long delayMillis) {
        silenceTimer = Optional.of(exchange.context()
                .loop()
                .schedule(this::checkSilence, Math.max(1, delayMillis), TimeUnit.MILLISECONDS));
    }

    private void checkSilence() {
        if (ended) {
            return;
        }
        long allowedMillis = firstByteMillis < 0
                ? SilenceLimits.firstByteMillis(exchange, choice)
                : SilenceLimits.stallMillis(exchange);
        long quietMillis = exchange.nowMillis() - lastReceivedMillis;
        if (!reading || quietMillis < allowedMillis) {
            scheduleSilenceCheck(reading ? allowedMillis - quietMillis : allowedMillis);
            return;
        }
        if (!exchange.isSuccessor(this)) {
            exchange.onSilent(this, quietMillis, !silenceReported);
            silenceReported = true;
        }
        scheduleSilenceCheck(exchange.context().timeouts().minSilenceMillis());
    }

    private long cacheTokens() {
        return Optional.ofNullable(exchange.config().services().get(exchange.service()))
                .flatMap(found -> found.engine())
                .map(engine -> engine.kvCacheTokens())
                .orElse(0L);
    }
}
