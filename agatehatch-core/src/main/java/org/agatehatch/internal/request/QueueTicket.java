package org.agatehatch.internal.request;

import java.util.Comparator;
import org.agatehatch.api.routing.AdmissionRequest;

/** Handle of one request in an {@link AdmissionQueue}. */
public final class QueueTicket {
    static final Comparator<QueueTicket> BY_FIRST_TOKEN_DEADLINE = Comparator.comparingLong(
                    (QueueTicket ticket) -> ticket.request().firstTokenDeadlineNanos())
            .thenComparingLong(ticket -> ticket.number);
    static final Comparator<QueueTicket> BY_QUEUE_DEADLINE = Comparator.comparingLong(
                    (QueueTicket ticket) -> ticket.queued.queueDeadlineNanos())
            .thenComparingLong(ticket -> ticket.number);

    private final QueuedRequest queued;
    private final long number;
    private final boolean displaceable;
    /** Guarded by the lock of the queue. */
    private State state = State.WAITING;

    QueueTicket(QueuedRequest queued, long number, boolean displaceable) {
        this.queued = queued;
        this.number = number;
        this.displaceable = displaceable;
    }

    public AdmissionRequest request() {
        return queued.request();
    }

    /** Returns the request with its deadline and callbacks, as it was offered to the queue. */
    public QueuedRequest queued() {
        return queued;
    }

    /** Returns whether a new request may displace this one from a full queue. */
    boolean displaceable() {
        return displaceable;
    }

    State state() {
        return state;
    }

    void state(State next) {
        state = next;
    }

    enum State {
        WAITING,
        DISPATCHED,
        REMOVED
    }
}
