package org.agatehatch.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.gateway.RequestDialect;
import org.agatehatch.gateway.connection.AnswerListener;
import org.agatehatch.gateway.connection.BackendConnection;
import org.agatehatch.gateway.connection.BackendPool;
import org.agatehatch.internal.connection.ServerLoad;
import org.agatehatch.internal.request.AttemptEnd;
import org.agatehatch.internal.request.ServerChoice;

/** One send of a request to one backend server. */
final class Attempt implements AnswerListener, BackendPool.Acquirer {
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int FIRST_REDIRECT = 300;

    private final Exchange exchange;
    private final ServerChoice.Chosen choice;
    private final ServerLoad load;
    private final long startedMillis;
    private Optional<BackendConnection> connection = Optional.empty();
    private Optional<AttemptEnd> declared = Optional.empty();
    private Optional<Future<?>> silence = Optional.empty();
    private long lastHeardMillis;
    private long firstMillis = -1;
    private boolean counted;
    private boolean headSeen;
    private boolean connectRefused;
    private boolean over;

    Attempt(Exchange exchange, ServerChoice.Chosen choice) {
        this.exchange = exchange;
        this.choice = choice;
        this.load = exchange.parts().chooser().load(choice.server().id());
        this.startedMillis = exchange.nowMillis();
    }

    void connect() {
        load.recordSent(choice.promptTokensToRead());
        exchange.terms()
                .generation()
                .ifPresent(generation -> exchange.parts().demand().sent(server().service(), generation));
        exchange.acquire(choice.server(), this);
    }

    /** Gives the attempt up, so that the server stops working on it. */
    void abandon() {
        if (over) {
            return;
        }
        if (firstMillis < 0) {
            // A server that lets callers wait until they leave would otherwise look as quick as it ever was.
            load.recordDelay(tookMillis() - choice.explainedMillis());
        }
        close();
        connection.ifPresent(BackendConnection::abort);
    }

    void reading(boolean on) {
        connection.ifPresent(open -> open.reading(on));
    }

    boolean sent() {
        return connection.isPresent();
    }

    /** Returns whether nobody listens at the server's address, which a slow or cut path does not show. */
    boolean connectRefused() {
        return connectRefused;
    }

    ServerEntry server() {
        return choice.server();
    }

    ServerChoice.Chosen choice() {
        return choice;
    }

    long firstMillis() {
        return firstMillis;
    }

    long tookMillis() {
        return exchange.nowMillis() - startedMillis;
    }

    @Override
    public void onConnection(BackendConnection acquired) {
        if (over) {
            acquired.release();
            return;
        }
        connection = Optional.of(acquired);
        exchange.onSent(acquired);
        watchForSilence();
        acquired.send(exchange.attemptRequest(choice.server()), this);
    }

    @Override
    public void onFailure(Throwable cause) {
        connectRefused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        end(AttemptEnd.NOT_CONNECTED, String.valueOf(cause.getMessage()));
    }

    @Override
    public Reading onHead(HttpResponse head) {
        RequestDialect.AnswerTerms terms = exchange.parts().dialect().readAnswer(head);
        boolean foreign = !terms.attemptId().isEmpty()
                && !terms.attemptId().equals(exchange.terms().attemptId());
        if (foreign) {
            return Reading.SKIP;
        }
        headSeen = true;
        lastHeardMillis = exchange.nowMillis();
        int status = head.status().code();
        if (terms.declaredNotRun() || terms.misdirected()) {
            declared = Optional.of(terms.misdirected() ? AttemptEnd.MISDIRECTED : AttemptEnd.REFUSED);
            return Reading.TAKE;
        }
        boolean success = status < FIRST_REDIRECT;
        if (success && !terms.sealed()) {
            abort(AttemptEnd.BROKEN, "success without the server's signature");
            return Reading.TAKE;
        }
        if (exchange.relay().begun() && !success) {
            abort(AttemptEnd.BROKEN, "status " + status + " instead of the rest of the stream");
            return Reading.TAKE;
        }
        exchange.relay().head(head, success && exchange.route().streaming());
        return Reading.TAKE;
    }

    @Override
    public void onContent(ByteBuf content) {
        lastHeardMillis = exchange.nowMillis();
        if (over || declared.isPresent()) {
            return;
        }
        noteFirst();
        if (exchange.relay().content(content)) {
            exchange.onAnswerBegun();
        }
    }

    @Override
    public void onReadComplete() {
        if (!over) {
            exchange.relay().flush();
        }
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        if (declared.isPresent()) {
            end(declared.get(), "status " + exchange.relay().status());
            return;
        }
        noteFirst();
        if (!exchange.relay().end()) {
            end(AttemptEnd.BROKEN, "the stream ended within an event");
            return;
        }
        boolean failed = exchange.relay().status() >= FIRST_SERVER_ERROR;
        load.recordAnswer(failed);
        if (!failed) {
            exchange.parts().chooser().succeeded(exchange.service(), server().id(), latencyMillis());
            exchange.parts().crashes().answered(exchange.fingerprint());
        }
        end(
                failed ? AttemptEnd.SERVER_ERROR : AttemptEnd.ANSWERED,
                "status " + exchange.relay().status());
    }

    @Override
    public void onBroken(String cause) {
        end(declared.orElse(AttemptEnd.BROKEN), cause + (headSeen ? " after the head" : " before any answer"));
    }

    private void abort(AttemptEnd end, String cause) {
        connection.ifPresent(BackendConnection::abort);
        end(end, cause);
    }

    private void end(AttemptEnd end, String cause) {
        if (over) {
            return;
        }
        close();
        exchange.onAttemptEnd(this, end, cause);
    }

    private void close() {
        over = true;
        silence.ifPresent(timer -> timer.cancel(false));
        countRead();
        load.recordEnd();
        exchange.terms()
                .generation()
                .ifPresent(generation -> exchange.parts().demand().ended(server().service(), generation));
    }

    private void noteFirst() {
        if (firstMillis >= 0) {
            return;
        }
        firstMillis = tookMillis();
        countRead();
        load.recordDelay(latencyMillis());
        exchange.terms()
                .generation()
                .ifPresent(generation ->
                        exchange.parts().chooser().promptRead(server(), generation, exchange.cacheTokens()));
        exchange.parts().metrics().firstByte(firstMillis);
    }

    private void countRead() {
        if (!counted) {
            counted = true;
            load.recordPrefillEnd(choice.promptTokensToRead());
        }
    }

    /** Time to the first byte, without what the known work explains. */
    private double latencyMillis() {
        return Math.max(0, firstMillis - choice.explainedMillis());
    }

    /** Only a request that may be repeated gains from giving up a silent server. */
    private void watchForSilence() {
        if (!exchange.route().repeatable()) {
            return;
        }
        lastHeardMillis = exchange.nowMillis();
        scheduleSilenceCheck(headWaitMillis());
    }

    private void scheduleSilenceCheck(long delayMillis) {
        silence = Optional.of(
                exchange.parts().loop().schedule(this::checkSilence, Math.max(1, delayMillis), TimeUnit.MILLISECONDS));
    }

    private void checkSilence() {
        if (over) {
            return;
        }
        long allowedMillis = firstMillis < 0 ? headWaitMillis() : pauseMillis();
        long quietMillis = exchange.nowMillis() - lastHeardMillis;
        if (quietMillis >= allowedMillis) {
            abort(AttemptEnd.SILENT, "nothing heard for " + quietMillis + " ms");
            return;
        }
        scheduleSilenceCheck(allowedMillis - quietMillis);
    }

    private long headWaitMillis() {
        ExchangeTimes times = exchange.parts().times();
        double byTarget = exchange.route().targetMillis() * times.headWaitFactor();
        return (long) Math.max(byTarget, times.headWaitFloorMillis() + choice.predictedMillis());
    }

    private long pauseMillis() {
        double byPause =
                exchange.route().maxPauseMillis() * exchange.parts().times().pauseFactor();
        return (long) Math.max(byPause, exchange.parts().times().headWaitFloorMillis());
    }
}
