package org.agatehatch.internal.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.agatehatch.api.fleet.ResidencyOrder;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Orders that this node has sent to runners and that may still be executed, since no reply has arrived. A runner executes such an
 * order late if its count of accepted orders equals the expected one then. That also holds for a new process under the runner's
 * id, whose count starts at 0, so this record outlives the order queue of a process and the time as placement holder.
 */
final class UnansweredOrders {
    /** Runners execute orders up to 12 s late; the rest is for the time that an order is on its way. */
    private static final long RETENTION_MILLIS = 15_000;

    private final MonotonicClock clock;
    private final Deque<SentOrder> oldestFirst = new ArrayDeque<>();

    /** An order on its way to a runner. */
    record SentOrder(String runner, ResidencyOrder order, long expectedOrders, long sentAtMillis) {}

    UnansweredOrders(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records an order that is being sent. */
    SentOrder onSent(String runner, ResidencyOrder order, long expectedOrders) {
        SentOrder sent = new SentOrder(runner, order, expectedOrders, clock.millis());
        oldestFirst.add(sent);
        return sent;
    }

    /** Removes an order that the runner has replied to, or that has not reached it. */
    void onSettled(SentOrder sent) {
        oldestFirst.remove(sent);
    }

    /** Returns the orders that a runner may still execute once it has accepted the given number of orders. */
    List<ResidencyOrder> expecting(String runner, long ordersAccepted) {
        long nowMillis = clock.millis();
        while (!oldestFirst.isEmpty() && nowMillis - oldestFirst.peek().sentAtMillis() > RETENTION_MILLIS) {
            oldestFirst.poll();
        }
        return oldestFirst.stream()
                .filter(sent -> sent.runner().equals(runner) && sent.expectedOrders() == ordersAccepted)
                .map(SentOrder::order)
                .toList();
    }
}
