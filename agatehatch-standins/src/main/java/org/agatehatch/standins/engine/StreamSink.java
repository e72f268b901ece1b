package org.agatehatch.standins.engine;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.standins.http.Connection;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Answers an attempt as a stream of server-sent events, one frame for each token. */
final class StreamSink implements TokenSink {
    private static final ContentType EVENT_STREAM = MediaTypes.TEXT_EVENT_STREAM.toContentType();
    /** Chunks that wait for a slow caller; each holds the frames of one tick of the engine. */
    private static final int BUFFERED_CHUNKS = 256;

    private static final long RESET_DELAY_MILLIS = 30;

    private final ClassicActorSystemProvider system;
    private final InferenceRequest request;
    private final String peer;
    private final String epoch;
    private final Connection connection;
    private final Supplier<EngineFaults> faults;
    private final Function<InferenceRequest, Optional<InferenceRequest>> otherThan;
    private final Executor executor;
    private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private FrameWriter frames;
    private BoundedSourceQueue<ByteString> queue;
    private int cutAtIndex = Integer.MAX_VALUE;
    private boolean ended;

    StreamSink(
            ClassicActorSystemProvider system,
            InferenceRequest request,
            String peer,
            String epoch,
            Connection connection,
            Supplier<EngineFaults> faults,
            Function<InferenceRequest, Optional<InferenceRequest>> otherThan,
            Executor executor) {
        this.system = system;
        this.request = request;
        this.peer = peer;
        this.epoch = epoch;
        this.connection = connection;
        this.faults = faults;
        this.otherThan = otherThan;
        this.executor = executor;
    }

    CompletionStage<HttpResponse> response() {
        return response;
    }

    @Override
    public void admitted(String version, int cachedTokens) {
        frames = new FrameWriter(request, cachedTokens);
        if (faults.get().cutStreams().fires()) {
            cutAtIndex = request.firstIndex() + faults.get().cutAfterTokens();
        }
        Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> source =
                Source.<ByteString>queue(BUFFERED_CHUNKS).preMaterialize(system);
        queue = source.first();
        HttpResponse answer =
                HttpResponse.create().withEntity(HttpEntities.createChunked(EVENT_STREAM, source.second()));
        HttpResponse identified = Answer.versioned(Answer.identified(answer, request.attempt(), epoch), version);
        response.completeAsync(() -> identified, executor);
    }

    @Override
    public Delivery deliver(int fromIndex, int toIndex) {
        if (ended) {
            return Delivery.CLOSED;
        }
        int end = Math.min(toIndex, cutAtIndex);
        buffer.reset();
        for (int index = fromIndex; index < end; index++) {
            write(index);
        }
        boolean last = end == request.maxTokens();
        if (last) {
            frames.done(buffer, end);
        }
        if (buffer.size() > 0) {
            QueueOfferResult offered = queue.offer(ByteString.fromArray(buffer.toByteArray()));
            if (offered == QueueOfferResult.dropped()) {
                return Delivery.FULL;
            }
            if (!offered.isEnqueued()) {
                ended = true;
                return Delivery.CLOSED;
            }
        }
        ended = last;
        if (end < toIndex || (end == cutAtIndex && !last)) {
            cut();
            return Delivery.CLOSED;
        }
        return Delivery.TAKEN;
    }

    @Override
    public void finish() {
        if (!ended) {
            buffer.reset();
            frames.done(buffer, Math.max(request.firstIndex(), request.maxTokens()));
            queue.offer(ByteString.fromArray(buffer.toByteArray()));
            ended = true;
        }
        queue.complete();
    }

    @Override
    public void cancel(boolean ran) {
        ended = true;
        if (queue != null) {
            queue.complete();
            return;
        }
        HttpResponse answer = Answer.identified(Answer.cancelled(peer, ran), request.attempt(), epoch);
        response.completeAsync(() -> answer, executor);
    }

    private void write(int index) {
        EngineFaults now = faults.get();
        boolean last = index + 1 == request.maxTokens();
        if (now.crossedFrames().fires()) {
            InferenceRequest other = Crossing.of(request, otherThan.apply(request));
            new FrameWriter(other, 0).token(buffer, index, false);
        }
        if (!now.skippedFrames().fires()) {
            frames.token(buffer, index, last);
        }
        if (index > request.firstIndex() && now.lateFrames().fires()) {
            frames.token(buffer, index - 1, false);
        }
    }

    private void cut() {
        ended = true;
        if (faults.get().cutWithReset()) {
            // Frames sent before the cut shall reach the caller; a reset at once would discard them.
            CompletableFuture.delayedExecutor(RESET_DELAY_MILLIS, TimeUnit.MILLISECONDS, executor)
                    .execute(connection::abort);
        } else {
            queue.complete();
        }
    }
}
