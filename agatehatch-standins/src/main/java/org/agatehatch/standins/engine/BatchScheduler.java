package org.agatehatch.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Continuous batching: attempts wait by priority, enter the batch when there is room, and share its computing time. Not
 * safe for use by several threads.
 */
final class BatchScheduler {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EngineSpeed speed;
    private final PrefixCache cache;
    private final Adapters adapters;
    private final Events events;
    private final PriorityQueue<Attempt> queue = new PriorityQueue<>(Attempt::compareForAdmission);
    private final List<Attempt> batch = new ArrayList<>();
    private double nowMillis;

    BatchScheduler(EngineSpeed speed, PrefixCache cache, Adapters adapters, Events events) {
        this.speed = speed;
        this.cache = cache;
        this.adapters = adapters;
        this.events = events;
    }

    /** Hears of attempts that start and end. */
    interface Events {
        void started(Attempt attempt);

        /** Returns false if the engine crashes on this attempt. */
        boolean mayDecode(Attempt attempt);

        void ended(Attempt attempt, String state);
    }

    boolean offer(Attempt attempt) {
        // Attempts that the next tick takes into the batch do not count as waiting.
        int roomInBatch = speed.maxBatch() - batch.size();
        if (queue.size() >= speed.maxQueued() + roomInBatch) {
            return false;
        }
        return queue.add(attempt);
    }

    /** Moves the model's time on. */
    void advance(double elapsedMillis, double slowdown, String role) {
        nowMillis += elapsedMillis;
        adapters.advance(nowMillis, this::isAdapterInUse);
        admit();
        boolean prefilling = prefill(elapsedMillis * prefillRate(role) / slowdown / MILLIS_PER_SECOND);
        double decodeShare = prefilling ? EngineSpeed.DECODE_SHARE_DURING_PREFILL : 1;
        decode(elapsedMillis * decodeRate(role) * decodeShare / slowdown / MILLIS_PER_SECOND);
    }

    /** Returns the attempt with this id, waiting or running. */
    Optional<Attempt> find(String attemptId) {
        for (Attempt attempt : batch) {
            if (attempt.request().attempt().equals(attemptId)) {
                return Optional.of(attempt);
            }
        }
        return queue.stream()
                .filter(attempt -> attempt.request().attempt().equals(attemptId))
                .findFirst();
    }

    /** Takes an attempt out of queue or batch. */
    void remove(Attempt attempt) {
        batch.remove(attempt);
        queue.remove(attempt);
    }

    /** Calls an action for each attempt, waiting or running. */
    void forEach(Consumer<Attempt> action) {
        new ArrayList<>(batch).forEach(action);
        new ArrayList<>(queue).forEach(action);
    }

    /** Returns another request of the batch, from which a crossed frame can come. */
    Optional<InferenceRequest> otherThan(InferenceRequest request) {
        for (Attempt attempt : batch) {
            if (!attempt.request().attempt().equals(request.attempt())) {
                return Optional.of(attempt.request());
            }
        }
        return Optional.empty();
    }

    int batchSize() {
        return batch.size();
    }

    int queueSize() {
        return queue.size();
    }

    long queuedTokens() {
        long tokens = 0;
        for (Attempt attempt : queue) {
            tokens += attempt.tokensLeft();
        }
        for (Attempt attempt : batch) {
            if (!attempt.isPrefilled()) {
                tokens += attempt.request().promptTokens();
            }
        }
        return tokens;
    }

    /** Returns prompt tokens computed in a second of the model. */
    double prefillRate(String role) {
        return speed.prefillTokensPerSecond() * roleFactor(role, "prompt");
    }

    /** Returns tokens that one request of the batch gets in a second of the model. */
    double decodeRate(String role) {
        return speed.decodeTokensPerSecond(batch.size()) * roleFactor(role, "answer");
    }

    private static double roleFactor(String role, String favoured) {
        if (role.equals("both")) {
            return 1;
        }
        return role.equals(favoured) ? 1.5 : 0.5;
    }

    private boolean isAdapterInUse(String adapter) {
        for (Attempt attempt : batch) {
            if (attempt.request().adapter().filter(adapter::equals).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private void admit() {
        while (batch.size() < speed.maxBatch() && !queue.isEmpty()) {
            Attempt attempt = queue.poll();
            int cachedTokens = cache.use(attempt.request().blocks()) * PromptBlocks.TOKENS_PER_BLOCK;
            attempt.enterBatch(cachedTokens);
            batch.add(attempt);
            events.started(attempt);
            attempt.sink().admitted(attempt.resident().version(), cachedTokens);
        }
    }

    private boolean prefill(double tokenBudget) {
        boolean any = false;
        double budget = tokenBudget;
        for (Attempt attempt : batch) {
            if (attempt.isPrefilled() || !adapterIsReady(attempt)) {
                continue;
            }
            any = true;
            if (budget <= 0) {
                continue;
            }
            budget = attempt.prefill(budget);
            if (attempt.isPrefilled()) {
                cache.store(attempt.request().model(), attempt.request().blocks());
            }
        }
        return any;
    }

    private boolean adapterIsReady(Attempt attempt) {
        Optional<String> adapter = attempt.request().adapter();
        return adapter.isEmpty() || adapters.use(adapter.get(), nowMillis);
    }

    private void decode(double tokens) {
        for (Iterator<Attempt> attempts = batch.iterator(); attempts.hasNext(); ) {
            Attempt attempt = attempts.next();
            if (!attempt.isPrefilled()) {
                continue;
            }
            if (!events.mayDecode(attempt)) {
                return;
            }
            TokenSink.Delivery delivery = attempt.decode(tokens);
            if (delivery == TokenSink.Delivery.CLOSED) {
                attempts.remove();
                events.ended(attempt, "cancelled");
            } else if (attempt.isComplete()) {
                attempts.remove();
                attempt.sink().finish();
                events.ended(attempt, "finished");
            }
        }
    }
}
