package org.agatehatch.daemon.links;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.connection.PeerFrame;
import org.agatehatch.internal.connection.PeerSession;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.util.ByteString;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One authenticated connection to another node. */
public final class PeerLink {
    private static final Logger log = LoggerFactory.getLogger(PeerLink.class);

    /** Keeps a failure far below the frame limit. */
    private static final int MAX_REASON_CHARS = 1_024;

    private final String id;
    private final boolean outgoing;
    private final PeerSession session;
    private final PeerHandler handler;
    private final BoundedSourceQueue<ByteString> output;
    private final CompletableFuture<PeerLink> opened = new CompletableFuture<>();
    private final Map<Long, CompletableFuture<PeerMessage>> questions = new ConcurrentHashMap<>();
    private final AtomicLong nextCorrelationId = new AtomicLong(1);
    private final AtomicLong bytesSent = new AtomicLong();
    private final AtomicLong bytesReceived = new AtomicLong();

    PeerLink(
            String id,
            boolean outgoing,
            PeerSession session,
            PeerHandler handler,
            BoundedSourceQueue<ByteString> output) {
        this.id = id;
        this.outgoing = outgoing;
        this.session = session;
        this.handler = handler;
        this.output = output;
    }

    /** Returns the link's identifier, unique within this process. */
    public String id() {
        return id;
    }

    /** Returns the name of the node at the other end. */
    public String peerName() {
        return session.peerName();
    }

    /** Returns whether this node opened the link. */
    public boolean outgoing() {
        return outgoing;
    }

    /** Returns the bytes offered for sending so far, without length prefixes and TCP headers. */
    public long bytesSent() {
        return bytesSent.get();
    }

    /** Returns the bytes received so far, without length prefixes and TCP headers. */
    public long bytesReceived() {
        return bytesReceived.get();
    }

    /**
     * Sends a one-way message. Drops it if it does not fit into a frame, and closes the link if the output queue is full
     * because the peer reads too slowly.
     */
    public void send(PeerMessage message) {
        try {
            sendFrame(new PeerFrame(PeerFrame.Kind.NOTICE, 0, message));
        } catch (AgatehatchException e) {
            log.warn(
                    "notice not sent: link={} peer={} type={} cause={}",
                    id,
                    peerName(),
                    message.type(),
                    e.getMessage());
        }
    }

    /**
     * Sends a message and returns its answer. Fails on timeout, on a failure at the peer, when the link closes, and if the
     * message does not fit into a frame.
     */
    public CompletionStage<PeerMessage> ask(PeerMessage message, long timeoutMillis) {
        long correlation = nextCorrelationId.getAndIncrement();
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        questions.put(correlation, answer);
        try {
            sendFrame(new PeerFrame(PeerFrame.Kind.QUESTION, correlation, message));
        } catch (AgatehatchException e) {
            answer.completeExceptionally(e);
        }
        return answer.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .whenComplete((reply, failure) -> questions.remove(correlation));
    }

    /** Returns the number of questions that wait for their answer. */
    int pendingQuestions() {
        return questions.size();
    }

    public void close() {
        output.complete();
    }

    CompletionStage<PeerLink> opened() {
        return opened;
    }

    void start() {
        offer(session.hello());
    }

    void onBytes(ByteString bytes) {
        bytesReceived.addAndGet(bytes.size());
        PeerSession.ReceiveResult received = session.receive(bytes.toArray());
        received.reply().ifPresent(this::offer);
        if (received.opened()) {
            handler.onOpen(this);
            opened.complete(this);
        }
        received.frame().ifPresent(this::onFrame);
    }

    void onClosed() {
        AgatehatchException closed = new AgatehatchException(
                ErrorCode.INTERNAL, "peer link", session.peerName(), Outcome.UNKNOWN, "the peer link was closed");
        boolean wasOpen = opened.isDone() && !opened.isCompletedExceptionally();
        opened.completeExceptionally(closed);
        questions.values().forEach(question -> question.completeExceptionally(closed));
        if (wasOpen) {
            handler.onClose(this);
        }
    }

    private void onFrame(PeerFrame frame) {
        switch (frame.kind()) {
            case NOTICE -> receiveNotice(frame.message());
            case QUESTION -> answer(frame);
            case ANSWER -> complete(frame);
            case FAILURE -> fail(frame);
        }
    }

    /** A notice that can't be processed is dropped; the peer would send it again over a new link. */
    private void receiveNotice(PeerMessage notice) {
        try {
            handler.onNotice(this, notice);
        } catch (RuntimeException e) {
            log.warn("notice not processed: link={} peer={} type={}", id, peerName(), notice.type(), e);
        }
    }

    private void answer(PeerFrame question) {
        handle(question.message()).whenComplete((reply, failure) -> {
            if (failure != null) {
                sendFailure(question.correlationId(), failure);
                return;
            }
            try {
                sendFrame(new PeerFrame(PeerFrame.Kind.ANSWER, question.correlationId(), reply));
            } catch (AgatehatchException e) {
                // The answer does not fit into a frame.
                sendFailure(question.correlationId(), e);
            }
        });
    }

    private CompletionStage<PeerMessage> handle(PeerMessage question) {
        try {
            return handler.onQuestion(this, question);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void sendFailure(long correlationId, Throwable failure) {
        String reason = String.valueOf(failure.getMessage());
        String text = reason.substring(0, Math.min(reason.length(), MAX_REASON_CHARS));
        PeerMessage message = new PeerMessage("error", text.getBytes(StandardCharsets.UTF_8));
        sendFrame(new PeerFrame(PeerFrame.Kind.FAILURE, correlationId, message));
    }

    private void complete(PeerFrame answer) {
        CompletableFuture<PeerMessage> question = questions.remove(answer.correlationId());
        if (question != null) {
            question.complete(answer.message());
        }
    }

    private void fail(PeerFrame failure) {
        CompletableFuture<PeerMessage> question = questions.remove(failure.correlationId());
        if (question == null) {
            return;
        }
        String text = new String(failure.message().body(), StandardCharsets.UTF_8);
        question.completeExceptionally(new AgatehatchException(
                ErrorCode.INTERNAL,
                "ask peer",
                session.peerName(),
                Outcome.UNKNOWN,
                "the peer reported a failure: " + text));
    }

    /** Seals and enqueues the frame under one lock, because the authentication code covers the order of frames. */
    private synchronized void sendFrame(PeerFrame frame) {
        offer(session.seal(frame));
    }

    private void offer(byte[] bytes) {
        bytesSent.addAndGet(bytes.length);
        QueueOfferResult result = output.offer(ByteString.fromArrayUnsafe(bytes));
        if (result != QueueOfferResult.enqueued()) {
            output.complete();
        }
    }
}
