package org.agatehatch.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.Flow;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Checks the lines of a stream of server-sent events against the expected text. A right answer has the whole text, then
 * {@code [DONE]}, and nothing after it.
 */
final class StreamCheck implements Flow.Subscriber<String> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String EVENT = "event:";
    private static final String DONE = "[DONE]";

    private final String expected;
    private final LongSupplier nanoClock;
    private final LongConsumer gapNanos;
    private String event = "";
    private int position;
    private long firstTokenNanos;
    private long lastTokenNanos;
    private boolean done;
    private AnswerResult failure;

    /** @param gapNanos takes the time between one token and the next */
    StreamCheck(String expected, LongSupplier nanoClock, LongConsumer gapNanos) {
        this.expected = expected;
        this.nanoClock = nanoClock;
        this.gapNanos = gapNanos;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (line.isEmpty()) {
            event = "";
        } else if (line.startsWith(EVENT)) {
            event = line.substring(EVENT.length()).strip();
        } else if (line.startsWith(DATA)) {
            data(line.substring(DATA.length()).strip());
        }
    }

    @Override
    public void onError(Throwable cause) {
        // The response's future fails with the same cause.
    }

    @Override
    public void onComplete() {
        // The end is judged in result().
    }

    /** Returns the verdict once the stream has ended in a regular way. */
    AnswerResult result() {
        if (failure != null) {
            return failure;
        }
        if (!done) {
            return AnswerResult.corrupt("ended without [DONE]");
        }
        return position == expected.length()
                ? AnswerResult.ok(firstTokenNanos)
                : AnswerResult.corrupt("[DONE] before the last token");
    }

    private void data(String data) {
        if (failure != null && failure.kind() == AnswerResult.Kind.CORRUPT) {
            return;
        }
        if (done || failure != null) {
            failure = AnswerResult.corrupt("data after the end");
        } else if (event.equals("error")) {
            failure = AnswerResult.errorOf(data, "error_event", "unknown");
        } else if (data.equals(DONE)) {
            done = true;
        } else {
            token(data);
        }
    }

    private void token(String data) {
        String text;
        try {
            JsonNode content =
                    JSON.readTree(data).path("choices").path(0).path("delta").path("content");
            text = content.asText("");
        } catch (IOException e) {
            failure = AnswerResult.corrupt("data that is no JSON");
            return;
        }
        if (text.isEmpty()) {
            return;
        }
        if (!expected.startsWith(text, position)) {
            failure = AnswerResult.corrupt(
                    position == expected.length() ? "more tokens than asked for" : "text of another answer");
            return;
        }
        position += text.length();
        long nowNanos = nanoClock.getAsLong();
        if (lastTokenNanos == 0) {
            firstTokenNanos = nowNanos;
        } else {
            gapNanos.accept(nowNanos - lastTokenNanos);
        }
        lastTokenNanos = nowNanos;
    }
}
