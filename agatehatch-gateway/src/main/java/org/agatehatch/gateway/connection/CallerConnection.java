package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.ClientLimits;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A caller's connection. Requests are read completely, within the configured limits, and answered one at a time in order of
 * arrival. Reading continues while a request is served, so that a disconnect of the caller is detected at once.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Pipelined requests that wait behind the one being served. Further ones are not read before one of them is served. */
    private static final int MAX_PIPELINED_REQUESTS = 32;

    /** Memory of pipelined requests that wait, beyond which no further one is read. */
    private static final int READ_AHEAD_BYTES = 64 * 1024;

    /** Objects of a connection without requests. */
    private static final int CONNECTION_BYTES = 4 * 1024;

    /**
     * Time for which the rest of a rejected request is read. Closing with unread data resets the connection, which discards a
     * response that the caller has not read. Two seconds cover some round trips and one retransmission.
     */
    static final long LINGER_MILLIS = 2_000;

    private static final Logger log = LoggerFactory.getLogger(CallerConnection.class);

    private final Channel channel;
    private final RequestHandler handler;
    private final Supplier<ClientLimits> limits;
    private final BooleanSupplier leaving;
    private final MonotonicClock clock;
    private final CallerMemory memory;
    private final CallerMemory.Holder holder = new MemoryHolder();
    private final CallerMemory.Account account;
    private final ReadAheadGate gate = new ReadAheadGate(new GateReceiver());
    private final ArrayDeque<IncomingRequest.WaitingRequest> pipelined = new ArrayDeque<>();
    /** Request whose turn it is, before it is passed to the handler. */
    private Optional<CallerRequest> starting = Optional.empty();

    private Optional<RequestHandler.InFlightRequest> inFlight = Optional.empty();
    private final IncomingRequest incoming;
    private long pipelinedBytes;
    private long servingBytes;
    private boolean served;
    private final MinimumProgress progress;
    private int maxIncomingBodyBytes;
    private long lastActivityNanos;
    private long lastOutputNanos;
    private long unwrittenBytes;
    private ChannelFuture lastResponseWrite;
    private Optional<HttpResponseStatus> rejection = Optional.empty();
    private boolean responding;
    private boolean closing;
    private boolean lingering;
    private long lingerStartedNanos;
    private long headStartedNanos;
    private boolean readingHead;

    CallerConnection(
            Channel channel,
            RequestHandler handler,
            Supplier<ClientLimits> limits,
            BooleanSupplier leaving,
            MonotonicClock clock,
            CallerMemory memory) {
        this.channel = channel;
        this.handler = handler;
        this.limits = limits;
        this.leaving = leaving;
        this.clock = clock;
        this.lastActivityNanos = clock.nanos();
        this.incoming = new IncomingRequest(lastActivityNanos);
        this.progress = new MinimumProgress(lastActivityNanos);
        this.lastResponseWrite = channel.newSucceededFuture();
        this.memory = memory;
        this.account = memory.open(holder);
        account.charge(CONNECTION_BYTES);
    }

    /** Returns the handler that comes before the decoder. */
    ReadAheadGate gate() {
        return gate;
    }

    /**
     * Closes the connection if it exceeded the idle timeout, or the timeout for receiving a request's head. While the caller
     * still receives a response, only the idle timeout applies, to the time since it last accepted data.
     */
    void enforceTimeouts() {
        updateCharge();
        startNext();
        gate.passOn();
        if (responding) {
            progress.restart(clock.nanos());
            return;
        }
        if (lingering) {
            if (millisSince(lingerStartedNanos) > LINGER_MILLIS) {
                channel.close();
            }
            return;
        }
        ClientLimits current = limits.get();
        boolean writing = isWriting();
        enforceProgress();
        if (writing) {
            if (millisSince(lastOutputNanos) > current.idleTimeoutMillis()) {
                channel.close();
            }
            return;
        }
        boolean headLate = readingHead && millisSince(headStartedNanos) > current.headerTimeoutMillis();
        if (headLate || millisSince(lastActivityNanos) > current.idleTimeoutMillis()) {
            channel.close();
        }
    }

    /** While the account is short, closes a connection that holds memory and makes too little progress. */
    private void enforceProgress() {
        if (!holder.isPartial()) {
            progress.restart(clock.nanos());
        } else if (progress.wasTooSlow(clock.nanos()) && !closing && memory.isShort()) {
            memory.refused(CallerMemory.Reason.TOO_SLOW);
            evict(CallerMemory.Reason.TOO_SLOW);
        }
    }

    /** Returns the memory that this connection holds, with a request body of the given capacity. */
    private long heldBytes(int bodyCapacity) {
        long requestBytes = incoming.heldBytes(bodyCapacity) + pipelinedBytes + servingBytes;
        return CONNECTION_BYTES + gate.waitingBytes() + requestBytes + pendingOutputBytes();
    }

    private long pendingOutputBytes() {
        ChannelOutboundBuffer output = channel.unsafe().outboundBuffer();
        return output == null ? 0 : output.totalPendingWriteBytes();
    }

    private void updateCharge() {
        account.charge(heldBytes(incoming.body().capacity()));
    }

    private void evict(CallerMemory.Reason reason) {
        boolean answerable = incoming.hasHead() && pendingOutputBytes() == 0;
        if (answerable && !closing && reason != CallerMemory.Reason.NO_DESCRIPTOR) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else {
            closing = true;
            account.close();
            channel.close();
        }
    }

    private void refuseForMemory() {
        memory.refused(CallerMemory.Reason.NO_MEMORY);
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    /** Records that data arrived, even if it completes no HTTP message. */
    private void onBytesReceived(int bytes) {
        progress.add(bytes);
        lastActivityNanos = clock.nanos();
        if (!readingHead && isIdle()) {
            readingHead = true;
            headStartedNanos = lastActivityNanos;
        }
    }

    private long millisSince(long nanos) {
        return (clock.nanos() - nanos) / 1_000_000;
    }

    /** Returns whether no request is being received or served. */
    boolean isIdle() {
        return !responding && pipelined.isEmpty() && !incoming.hasHead();
    }

    /** Closes an idle connection once its last response is written. A busy one closes after its response if the node is leaving. */
    void closeWhenIdle() {
        if (!isIdle() || lingering) {
            return;
        }
        if (!isWriting()) {
            channel.close();
            return;
        }
        // A listener runs before the channel has deducted the written bytes, hence the separate task.
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(written -> channel.eventLoop().execute(this::closeWhenIdle));
    }

    /** Tells the request in flight that the process is about to exit. */
    void endInFlight() {
        inFlight.ifPresent(RequestHandler.InFlightRequest::onProcessEnding);
    }

    /** Returns whether responses are not yet written to the socket, and records the progress since the last call. */
    private boolean isWriting() {
        ChannelOutboundBuffer output = channel.unsafe().outboundBuffer();
        long remainingBytes = output == null ? 0 : output.totalPendingWriteBytes() - output.currentProgress();
        if (remainingBytes != unwrittenBytes) {
            progress.add(Math.max(0, unwrittenBytes - remainingBytes));
            unwrittenBytes = remainingBytes;
            lastOutputNanos = clock.nanos();
            lastActivityNanos = lastOutputNanos;
        }
        return remainingBytes > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!closing) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        account.close();
        starting = Optional.empty();
        forgetPipelined();
        Optional<RequestHandler.InFlightRequest> abandoned = inFlight;
        inFlight = Optional.empty();
        abandoned.ifPresent(RequestHandler.InFlightRequest::onCallerGone);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        inFlight.ifPresent(work -> work.onWritabilityChanged(channel.isWritable()));
        updateCharge();
        startNext();
        gate.passOn();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause);
    }

    private void fail(Throwable cause) {
        log.debug("event=caller_connection_failed peer={} cause={}", channel.remoteAddress(), cause.toString());
        channel.close();
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            reject(RequestChecks.statusFor(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpRequest head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && incoming.hasHead()) {
            readContent(content);
        }
    }

    private void readHead(HttpRequest head) {
        if (!RequestChecks.isWellFormed(head)) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        readingHead = false;
        incoming.begin(head, clock.nanos());
        maxIncomingBodyBytes = limits.get().maxBodyBytes();
        if (HttpUtil.getContentLength(head, 0L) > maxIncomingBodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readContent(HttpContent content) {
        ByteBuf bytes = content.content();
        // A limit that is lowered meanwhile does not apply to a request whose head was accepted.
        maxIncomingBodyBytes = Math.max(maxIncomingBodyBytes, limits.get().maxBodyBytes());
        if (incoming.body().length() + bytes.readableBytes() > maxIncomingBodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (bytes.isReadable()) {
            incoming.dropStructure();
            int capacity = incoming.body().capacityWith(bytes.readableBytes());
            if (capacity > incoming.body().capacity() && !account.tryCharge(heldBytes(capacity))) {
                refuseForMemory();
                return;
            }
            incoming.add(bytes);
        }
        if (content instanceof LastHttpContent) {
            IncomingRequest.WaitingRequest complete = incoming.complete();
            pipelined.add(complete);
            pipelinedBytes += complete.chargedBytes();
            startNext();
        }
    }

    private void forgetPipelined() {
        pipelined.clear();
        pipelinedBytes = 0;
    }

    private void startNext() {
        if (responding) {
            return;
        }
        if (pipelined.isEmpty()) {
            rejection.ifPresent(this::writeRejection);
            return;
        }
        if (memory.isShort() && !channel.isWritable()) {
            return;
        }
        IncomingRequest.WaitingRequest next = pipelined.poll();
        pipelinedBytes -= next.chargedBytes();
        servingBytes = next.chargedBytes();
        responding = true;
        starting = Optional.of(next.request());
        // What a task schedules runs after the sockets were read again, which shows the end of a connection whose
        // caller left while its request waited to be read.
        channel.eventLoop().execute(() -> channel.eventLoop().schedule(this::serveNext, 0, TimeUnit.NANOSECONDS));
    }

    /** Starts the next request, unless its caller has left. */
    private void serveNext() {
        Optional<CallerRequest> next = starting;
        starting = Optional.empty();
        next.ifPresent(this::serve);
    }

    private void serve(CallerRequest request) {
        Sink sink = new Sink(request);
        try {
            RequestHandler.InFlightRequest work = handler.start(request, sink);
            if (!sink.done) {
                inFlight = Optional.of(work);
            }
        } catch (RuntimeException e) {
            // Outside of a read, nobody else reports the failure, and the caller would wait for good.
            fail(e);
        }
    }

    /** Reads no more requests. The response with the given status follows those to the requests that were read before. */
    private void reject(HttpResponseStatus status) {
        closing = true;
        incoming.forget();
        updateCharge();
        rejection = Optional.of(status);
        startNext();
    }

    private void writeRejection(HttpResponseStatus status) {
        rejection = Optional.empty();
        // Refusals for lack of memory are counted instead: a flood causes very many.
        if (!status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            log.info(
                    "event=request_rejected peer={} status={} reason=malformed_or_too_large",
                    channel.remoteAddress(),
                    status.code());
        }
        channel.writeAndFlush(RequestChecks.rejection(status)).addListener(written -> linger());
    }

    /** Ends the output. The connection closes when the caller closes it, or after a limited time. */
    private void linger() {
        lingering = true;
        lingerStartedNanos = clock.nanos();
        ((DuplexChannel) channel).shutdownOutput();
    }

    private final class GateReceiver implements ReadAheadGate.Receiver {
        @Override
        public boolean mayDecode() {
            if (pipelined.isEmpty()) {
                return !responding || !memory.isShort() || incoming.receivedBytes() <= READ_AHEAD_BYTES;
            }
            return pipelined.size() < MAX_PIPELINED_REQUESTS && pipelinedBytes < READ_AHEAD_BYTES;
        }

        @Override
        public boolean dropsInput() {
            return closing;
        }

        @Override
        public long missingBodyBytes() {
            return incoming.body().missingBytes();
        }

        @Override
        public void onReceived(int bytes) {
            onBytesReceived(bytes);
        }

        @Override
        public boolean onStructureBytes(int bytes, int lines) {
            incoming.addStructure(bytes, lines, clock.nanos());
            if (account.tryCharge(heldBytes(incoming.body().capacity()))) {
                return true;
            }
            refuseForMemory();
            return false;
        }

        @Override
        public void onPassed() {
            updateCharge();
        }
    }

    private final class MemoryHolder implements CallerMemory.Holder {
        @Override
        public boolean isServing() {
            return responding;
        }

        @Override
        public boolean isPartial() {
            return incoming.hasBegun() || !pipelined.isEmpty() || gate.waitingBytes() > 0 || pendingOutputBytes() > 0;
        }

        @Override
        public boolean hasBeenServed() {
            return served;
        }

        @Override
        public long lastProgressNanos() {
            return lastActivityNanos;
        }

        @Override
        public void evict(CallerMemory.Reason reason) {
            CallerConnection.this.evict(reason);
        }
    }

    private final class Sink implements ResponseSink {
        private final boolean keepAlive;
        private final boolean chunked;
        private final boolean headRequest;
        private boolean done;

        private Sink(CallerRequest request) {
            this.keepAlive = HttpUtil.isKeepAlive(request.head());
            this.chunked = request.head().protocolVersion().isKeepAliveDefault();
            this.headRequest = request.head().method().name().equals("HEAD");
        }

        @Override
        public void respond(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
            if (done) {
                return;
            }
            ByteBuf bytes = headRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(content);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes);
            response.headers().set(headers);
            if (!headRequest || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
            }
            boolean keepOpen = setConnectionHeader(response.headers());
            finish(keepOpen, channel.writeAndFlush(response));
        }

        @Override
        public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
            DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
            response.headers().set(headers);
            setConnectionHeader(response.headers());
            if (chunked) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                // The close delimits this response, so any close before its end must be a reset.
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.write(response);
        }

        @Override
        public void write(ByteBuf piece) {
            channel.write(new DefaultHttpContent(piece));
        }

        @Override
        public void flush() {
            channel.flush();
        }

        @Override
        public void complete() {
            if (done) {
                return;
            }
            if (!chunked) {
                // The end of the connection delimits this response, so none can follow it.
                channel.config().setOption(ChannelOption.SO_LINGER, -1);
                forgetPipelined();
            }
            boolean keepOpen = chunked && canStayOpen();
            finish(keepOpen, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        }

        @Override
        public void abort() {
            if (done) {
                return;
            }
            done = true;
            closing = true;
            responding = false;
            rejection = Optional.empty();
            servingBytes = 0;
            inFlight = Optional.empty();
            forgetPipelined();
            channel.flush();
            lastResponseWrite.addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public boolean isWritable() {
            return channel.isWritable();
        }

        private boolean setConnectionHeader(HttpHeaders headers) {
            boolean keepOpen = canStayOpen();
            if (!keepOpen) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            return keepOpen;
        }

        private boolean canStayOpen() {
            boolean responsesFollow = !pipelined.isEmpty() || rejection.isPresent();
            return keepAlive && (responsesFollow || (!closing && !leaving.getAsBoolean()));
        }

        private void finish(boolean keepOpen, ChannelFuture written) {
            done = true;
            lastResponseWrite = written;
            inFlight = Optional.empty();
            responding = false;
            served = true;
            servingBytes = 0;
            lastActivityNanos = clock.nanos();
            updateCharge();
            if (!keepOpen && pipelined.isEmpty()) {
                closing = true;
                rejection = Optional.empty();
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            startNext();
            gate.passOn();
        }
    }
}
