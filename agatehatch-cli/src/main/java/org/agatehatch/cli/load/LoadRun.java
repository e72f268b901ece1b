package org.agatehatch.cli.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.cli.load.TargetFigures.Latency;

/**
 * One run: sends each request at its intended time, whatever became of the ones before. A request that has to wait for
 * one of the connections waits at the cost of its own latency.
 */
final class LoadRun {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final int STATUS_OK = 200;
    private static final String UNKNOWN = Outcome.UNKNOWN.wireName();
    private static final String NOT_RUN = Outcome.NOT_RUN.wireName();

    private final LoadSettings settings;
    private final Prompts prompts;
    private final HttpClient http;
    private final long[] arrivalNanos;
    private long startNanos;

    LoadRun(LoadSettings settings) {
        this.settings = settings;
        this.prompts = new Prompts(settings);
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
        this.arrivalNanos = Arrivals.nanos(settings.ratePerSecond(), settings.durationSeconds(), settings.seed());
    }

    /** Runs to the end, and returns the figures of each target in the order of the settings. */
    List<TargetFigures> run() throws InterruptedException {
        List<TargetFigures> figures =
                settings.targets().stream().map(TargetFigures::new).toList();
        startNanos = System.nanoTime();
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < figures.size(); i++) {
            int first = i;
            Thread sender = new Thread(() -> send(first, figures.get(first)), "sender-" + first);
            sender.start();
            senders.add(sender);
        }
        for (Thread sender : senders) {
            sender.join();
        }
        return figures;
    }

    long startNanos() {
        return startNanos;
    }

    /** Sends every n-th request, n being the number of targets, and waits for all answers. */
    private void send(int first, TargetFigures figures) {
        String url = settings.targets().get(first).url();
        Semaphore free = new Semaphore(settings.connections());
        List<CompletableFuture<Void>> open = new ArrayList<>();
        long endNanos = startNanos
                + (long) (settings.durationSeconds() * TimeUnit.SECONDS.toNanos(1))
                + TimeUnit.MILLISECONDS.toNanos(settings.timeoutMillis());
        for (int i = first; i < arrivalNanos.length; i += settings.targets().size()) {
            long intendedNanos = startNanos + arrivalNanos[i];
            parkUntil(intendedNanos);
            figures.sent();
            if (!acquire(free, endNanos - System.nanoTime())) {
                figures.answered(
                        AnswerResult.error("no_free_connection", NOT_RUN), intendedNanos, System.nanoTime(), 0);
                continue;
            }
            figures.record(Latency.SEND_DELAY, System.nanoTime() - intendedNanos);
            open.add(call(url, prompts.prompt(i), intendedNanos, figures).whenComplete((ignored, e) -> free.release()));
        }
        CompletableFuture.allOf(open.toArray(new CompletableFuture<?>[0])).join();
    }

    private static void parkUntil(long nanos) {
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private static boolean acquire(Semaphore free, long waitNanos) {
        try {
            return free.tryAcquire(waitNanos, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private CompletableFuture<Void> call(String url, Prompts.Prompt prompt, long intendedNanos, TargetFigures figures) {
        String expected = AnswerText.ofChat(prompt.model(), prompt.content(), settings.maxTokens());
        HttpRequest request = HttpRequest.newBuilder(URI.create(url + "/v1/chat/completions"))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body(prompt)))
                .build();
        CompletableFuture<HttpResponse<AnswerResult>> sent =
                http.sendAsync(request, info -> subscriber(info, expected, figures));
        return sent.thenApply(HttpResponse::body)
                .orTimeout(settings.timeoutMillis(), TimeUnit.MILLISECONDS)
                .exceptionally(cause -> {
                    sent.cancel(true);
                    return failed(cause);
                })
                .thenAccept(result -> figures.answered(result, intendedNanos, System.nanoTime(), settings.maxTokens()));
    }

    private BodySubscriber<AnswerResult> subscriber(
            HttpResponse.ResponseInfo info, String expected, TargetFigures figures) {
        if (info.statusCode() != STATUS_OK) {
            String outcome = info.headers().firstValue(Outcome.HEADER).orElse(UNKNOWN);
            return BodySubscribers.mapping(
                    BodySubscribers.ofString(StandardCharsets.UTF_8),
                    body -> AnswerResult.errorOf(body, "status_" + info.statusCode(), outcome));
        }
        if (!settings.stream()) {
            return BodySubscribers.mapping(
                    BodySubscribers.ofString(StandardCharsets.UTF_8), body -> WholeCheck.check(body, expected));
        }
        StreamCheck check =
                new StreamCheck(expected, System::nanoTime, gap -> figures.record(Latency.BETWEEN_TOKENS, gap));
        return BodySubscribers.fromLineSubscriber(check, StreamCheck::result, StandardCharsets.UTF_8, "\n");
    }

    private String body(Prompts.Prompt prompt) {
        ObjectNode root = JsonNodeFactory.instance
                .objectNode()
                .put("model", prompt.model())
                .put("max_tokens", settings.maxTokens())
                .put("stream", settings.stream());
        root.putArray("messages").addObject().put("role", "user").put("content", prompt.content());
        return root.toString();
    }

    private static AnswerResult failed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return AnswerResult.error("connection_refused", NOT_RUN);
        }
        return AnswerResult.error(cause instanceof TimeoutException ? "client_timeout" : "connection_broken", UNKNOWN);
    }
}
