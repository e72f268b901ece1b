package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.fleet.PeerAddress;

/** HTTP client for the interfaces of the platform and of runners. Buffers each response and limits the time of each call. */
public final class PooledHttpClient {
    private static final String STEP = "call";

    /**
     * A request with its limits.
     *
     * @param step name of the call in error messages
     * @param timeoutMillis maximum time until the response begins; without transfer limits, until it ends
     * @param transfer limits that replace the timeout once the response has begun, for responses whose size varies
     * @param maxIdleMillis maximum time for which a reused connection may have been idle
     * @param maxResponseBytes maximum size of the response's body; a larger one fails the call
     */
    public record Call(
            PeerAddress address,
            String process,
            HttpMethod method,
            String target,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis,
            Optional<TransferLimits> transfer,
            long maxIdleMillis,
            int maxResponseBytes,
            String step) {
        /** Creates a call whose response must end within its timeout. */
        public Call(
                PeerAddress address,
                String process,
                HttpMethod method,
                String target,
                Map<String, String> headers,
                byte[] body,
                long timeoutMillis,
                long maxIdleMillis,
                int maxResponseBytes,
                String step) {
            this(
                    address,
                    process,
                    method,
                    target,
                    headers,
                    body,
                    timeoutMillis,
                    Optional.empty(),
                    maxIdleMillis,
                    maxResponseBytes,
                    step);
        }
    }

    /**
     * Limits of a response that has begun. A transfer that makes progress is worth more than its repetition: a fixed timeout on a slow
     * link would end each attempt at the same point.
     *
     * @param silenceMillis maximum time between two parts; the first one may also use the rest of the call's timeout
     * @param totalMillis maximum time from the head to the end
     */
    public record TransferLimits(long silenceMillis, long totalMillis) {}

    /** A complete response. */
    public record Response(int status, HttpHeaders headers, byte[] body) {}

    private final EventLoop loop;
    private final BackendConnectionPool pool;

    public PooledHttpClient(EventLoop loop, BackendConnectionPool pool) {
        this.loop = loop;
        this.pool = pool;
    }

    /**
     * Sends a request. The result fails with an {@link AgatehatchException} if no complete response arrives in time; its
     * outcome says whether the request may have taken effect.
     */
    public CompletionStage<Response> call(Call call) {
        PendingCall pending = new PendingCall(call);
        loop.execute(pending::start);
        return pending.result;
    }

    private final class PendingCall implements ResponseListener, BackendConnectionPool.AcquireListener {
        private final Call call;
        private final CompletableFuture<Response> result = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ScheduledFuture<?> timeout;
        private BackendConnection connection;
        private HttpResponse head;
        private Optional<ScheduledFuture<?>> transferTimeout = Optional.empty();
        private boolean completed;

        private PendingCall(Call call) {
            this.call = call;
        }

        private void start() {
            timeout =
                    schedule(() -> onTimeout("no answer within " + call.timeoutMillis() + " ms"), call.timeoutMillis());
            pool.acquire(call.address(), call.process(), call.maxIdleMillis(), this);
        }

        @Override
        public void onConnection(BackendConnection acquired) {
            if (completed) {
                acquired.abort();
                return;
            }
            connection = acquired;
            ByteBuf content = Unpooled.wrappedBuffer(call.body());
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.target(), content);
            request.headers().set(HttpHeaderNames.HOST, call.address().toString());
            call.headers().forEach((name, value) -> request.headers().set(name, value));
            if (call.body().length > 0 || call.method().equals(HttpMethod.POST)) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            }
            connection.send(request, this);
        }

        @Override
        public void onFailure(Throwable cause) {
            fail(Outcome.NOT_RUN, "connection could not be opened: " + cause.getMessage());
        }

        @Override
        public Disposition onHead(HttpResponse received) {
            head = received;
            call.transfer().ifPresent(limits -> {
                transferTimeout.ifPresent(previous -> previous.cancel(false));
                transferTimeout = Optional.of(schedule(
                        () -> onTimeout("the answer did not end within " + limits.totalMillis() + " ms"),
                        limits.totalMillis()));
                // A server may send the head of a long poll's answer before there is anything to answer.
                expectProgress(Math.max(limits.silenceMillis(), timeout.getDelay(TimeUnit.MILLISECONDS)));
            });
            return Disposition.ACCEPT;
        }

        private void expectProgress(long silenceMillis) {
            timeout.cancel(false);
            timeout = schedule(
                    () -> onTimeout(
                            "no more of the answer within " + silenceMillis + " ms, after " + body.size() + " bytes"),
                    silenceMillis);
        }

        private ScheduledFuture<?> schedule(Runnable task, long delayMillis) {
            return loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void onContent(ByteBuf content) {
            if (body.size() + content.readableBytes() > call.maxResponseBytes()) {
                connection.abort();
                fail(Outcome.UNKNOWN, "response larger than " + call.maxResponseBytes() + " bytes");
                return;
            }
            byte[] bytes = new byte[content.readableBytes()];
            content.readBytes(bytes);
            body.writeBytes(bytes);
            call.transfer().ifPresent(limits -> expectProgress(limits.silenceMillis()));
        }

        @Override
        public void onReadComplete() {}

        @Override
        public void onEnd(ResponseEnd end) {
            finish();
            result.complete(new Response(head.status().code(), head.headers(), body.toByteArray()));
        }

        @Override
        public void onConnectionError(String cause) {
            fail(Outcome.UNKNOWN, cause);
        }

        private void onTimeout(String cause) {
            if (connection != null) {
                connection.abort();
            }
            fail(connection == null ? Outcome.NOT_RUN : Outcome.UNKNOWN, cause);
        }

        private void fail(Outcome outcome, String cause) {
            if (completed) {
                return;
            }
            finish();
            result.completeExceptionally(new AgatehatchException(
                    ErrorCode.NODE_UNREACHABLE,
                    STEP + " " + call.step(),
                    call.address().toString(),
                    outcome,
                    call.method() + " " + call.step() + " failed: " + cause));
        }

        private void finish() {
            completed = true;
            timeout.cancel(false);
            transferTimeout.ifPresent(running -> running.cancel(false));
        }
    }
}
