package org.agatehatch.daemon.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.FinalError;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Converts the outputs of a {@link RequestExecution} into the HTTP response to the caller. */
final class CallerResponses {
    /** Response header with the request id that this node assigned. */
    static final String REQUEST_HEADER = "Agatehatch-Request";

    private static final byte[] DONE = ResponseFrame.DONE.getBytes(StandardCharsets.UTF_8);
    private static final ByteString EVENT_START = ByteString.fromString("data: ");
    private static final ByteString EVENT_END = ByteString.fromString("\n\n");
    private static final ByteString ERROR_START = ByteString.fromString("event: error\ndata: ");
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Materializer materializer;

    CallerResponses(Materializer materializer) {
        this.materializer = materializer;
    }

    /**
     * Returns a response with server-sent events. Completes when the first output is available, so that an error before
     * it still gets an HTTP error status.
     */
    CompletionStage<HttpResponse> streamed(Source<RequestOutput, NotUsed> outputs, String requestId) {
        return outputs.prefixAndTail(1)
                .runWith(Sink.head(), materializer)
                .thenApply(parts -> streamed(parts.first(), parts.second(), requestId));
    }

    /** Returns a response with the whole completion as one JSON object. */
    CompletionStage<HttpResponse> whole(Source<RequestOutput, NotUsed> outputs, boolean chat, String requestId) {
        CompletionAssembler assembler = new CompletionAssembler(chat, requestId);
        return outputs.runFold(
                        HttpResponse.create(),
                        (response, output) -> fold(response, output, assembler, requestId),
                        materializer)
                .thenApply(response -> response.addHeader(RawHeader.create(REQUEST_HEADER, requestId)));
    }

    /** Returns a plain service's response, or the stored response of an earlier request with the same key. */
    CompletionStage<HttpResponse> buffered(
            Source<RequestOutput, NotUsed> outputs,
            java.util.function.Supplier<List<HttpHeader>> headers,
            String requestId) {
        return outputs.runWith(Sink.seq(), materializer)
                .thenApply(all ->
                        buffered(all, headers.get(), requestId).addHeader(RawHeader.create(REQUEST_HEADER, requestId)));
    }

    private static HttpResponse streamed(
            List<RequestOutput> first, Source<RequestOutput, NotUsed> rest, String requestId) {
        if (!first.isEmpty() && first.get(0) instanceof RequestOutput.Failure failure) {
            return error(failure.error()).addHeader(RawHeader.create(REQUEST_HEADER, requestId));
        }
        Source<ByteString, NotUsed> events = Source.from(first).concat(rest).map(CallerResponses::event);
        Source<ByteString, NotUsed> nonEmptyEvents = events.filter(bytes -> !bytes.isEmpty());
        return HttpResponse.create()
                .addHeader(RawHeader.create(REQUEST_HEADER, requestId))
                .addHeader(RawHeader.create("Cache-Control", "no-cache"))
                .withEntity(HttpEntities.createChunked(MediaTypes.TEXT_EVENT_STREAM.toContentType(), nonEmptyEvents));
    }

    private static ByteString event(RequestOutput output) {
        if (output instanceof RequestOutput.Payload payload) {
            return Arrays.equals(payload.data(), DONE)
                    ? ByteString.emptyByteString()
                    : EVENT_START
                            .concat(ByteString.fromArrayUnsafe(payload.data()))
                            .concat(EVENT_END);
        }
        if (output instanceof RequestOutput.Failure failure) {
            String body = ErrorResponses.body(failure.error().toException());
            return ERROR_START.concat(ByteString.fromString(body)).concat(EVENT_END);
        }
        return EVENT_START.concat(ByteString.fromArrayUnsafe(DONE)).concat(EVENT_END);
    }

    private static HttpResponse fold(
            HttpResponse response, RequestOutput output, CompletionAssembler assembler, String requestId) {
        if (output instanceof RequestOutput.Payload payload) {
            if (!Arrays.equals(payload.data(), DONE)) {
                assembler.add(payload.data());
            }
            return response;
        }
        if (output instanceof RequestOutput.Failure failure) {
            return error(failure.error());
        }
        return HttpResponse.create()
                .addHeader(RawHeader.create(Outcome.HEADER, Outcome.RAN.wireName()))
                .withEntity(ContentTypes.APPLICATION_JSON, assembler.toJson());
    }

    private static HttpResponse buffered(List<RequestOutput> outputs, List<HttpHeader> headers, String requestId) {
        RequestOutput last = outputs.get(outputs.size() - 1);
        if (last instanceof RequestOutput.Failure failure) {
            return error(failure.error());
        }
        if (last instanceof RequestOutput.Replayed replayed) {
            return replayed(replayed);
        }
        RequestOutput.Complete complete = (RequestOutput.Complete) last;
        byte[] body = ((RequestOutput.Payload) outputs.get(0)).data();
        return HttpResponse.create()
                .withStatus(complete.status())
                .addHeaders(headers)
                .addHeader(RawHeader.create(Outcome.HEADER, Outcome.RAN.wireName()))
                .withEntity(ContentTypeParser.parse(complete.contentType()), body);
    }

    private static HttpResponse replayed(RequestOutput.Replayed replayed) {
        HttpResponse response = HttpResponse.create()
                .withStatus(replayed.stored().status())
                .addHeader(RawHeader.create(Outcome.HEADER, Outcome.RAN.wireName()))
                .addHeader(RawHeader.create("Agatehatch-Replayed", "true"))
                .addHeader(RawHeader.create(
                        "Agatehatch-Body-Digest", "sha-256=" + replayed.stored().bodyDigest()));
        return response.withEntity(
                ContentTypeParser.parse(replayed.stored().contentType()),
                replayed.stored().body());
    }

    static HttpResponse error(FinalError error) {
        OptionalLong retryAfterSeconds = error.retryAfterMillis() > 0
                ? OptionalLong.of((error.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
                : OptionalLong.empty();
        return ErrorResponses.of(error.toException(), retryAfterSeconds);
    }
}
