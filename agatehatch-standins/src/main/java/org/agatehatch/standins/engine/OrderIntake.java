package org.agatehatch.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.standins.http.Connection;
import org.agatehatch.standins.http.Responses;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Loses, delays, doubles and reorders orders on their way to an engine process. */
final class OrderIntake {
    private final Supplier<EngineFaults> faults;
    private final LongFunction<Executor> delayed;
    private final Deque<CompletableFuture<Void>> held = new ArrayDeque<>();

    OrderIntake(Supplier<EngineFaults> faults, LongFunction<Executor> delayed) {
        this.faults = faults;
        this.delayed = delayed;
    }

    /** Brings an order to the process that runs now. An order that is under way when this process dies is lost. */
    CompletionStage<HttpResponse> receive(EngineOrder order, EngineProcess process, Connection connection) {
        EngineFaults now = faults.get();
        if (now.lostOrders().fires()) {
            connection.abort();
            return Responses.never();
        }
        if (now.reorderedOrders().fires()) {
            return hold(now.orderDelayMillis()).thenCompose(next -> answer(process.order(order), connection));
        }
        if (now.delayedOrders().fires()) {
            return CompletableFuture.supplyAsync(() -> process.order(order), delayed.apply(now.orderDelayMillis()))
                    .thenCompose(reply -> answer(reply, connection));
        }
        if (now.doubledOrders().fires()) {
            delayed.apply(now.orderDelayMillis()).execute(() -> process.order(order));
        }
        Optional<OrderReply> reply = process.order(order);
        releaseHeld();
        return answer(reply, connection);
    }

    private CompletionStage<HttpResponse> answer(Optional<OrderReply> reply, Connection connection) {
        if (reply.isEmpty()) {
            return Responses.never(); // The process died, and its connections were cut.
        }
        if (faults.get().lostOrderAnswers().fires()) {
            connection.abort();
            return Responses.never();
        }
        return Responses.now(Responses.ok(reply.get()));
    }

    private CompletionStage<Void> hold(long atMostMillis) {
        CompletableFuture<Void> released = new CompletableFuture<>();
        synchronized (held) {
            held.addLast(released);
        }
        delayed.apply(atMostMillis).execute(() -> released.complete(null));
        return released;
    }

    private void releaseHeld() {
        Deque<CompletableFuture<Void>> released;
        synchronized (held) {
            released = new ArrayDeque<>(held);
            held.clear();
        }
        released.forEach(order -> order.complete(null));
    }
}
