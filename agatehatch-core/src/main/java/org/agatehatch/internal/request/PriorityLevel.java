package org.agatehatch.internal.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Waiting requests of one priority, scheduled among owners by weighted deficit round robin. Within an owner, the
 * request with the earliest first-token deadline comes first. Not thread safe.
 */
final class PriorityLevel {
    private final long quantumTokens;
    private final ToDoubleFunction<String> weightOfOwner;
    private final Map<String, OwnerQueue> owners = new LinkedHashMap<>();
    private long tokens;

    PriorityLevel(long quantumTokens, ToDoubleFunction<String> weightOfOwner) {
        this.quantumTokens = quantumTokens;
        this.weightOfOwner = weightOfOwner;
    }

    void add(QueueTicket ticket) {
        owners.computeIfAbsent(ticket.request().owner(), OwnerQueue::new).add(ticket);
        tokens += ticket.request().tokens();
    }

    void remove(QueueTicket ticket) {
        OwnerQueue owner = owners.get(ticket.request().owner());
        owner.remove(ticket);
        tokens -= ticket.request().tokens();
        if (owner.requests == 0) {
            // An owner without waiting requests loses its credit; accumulated credit would allow a burst later.
            owners.remove(owner.name);
        }
    }

    boolean isEmpty() {
        return owners.isEmpty();
    }

    long tokens() {
        return tokens;
    }

    int requests(String owner) {
        OwnerQueue queue = owners.get(owner);
        return queue == null ? 0 : queue.requests;
    }

    /** Returns the tokens that are served before a new request of the owner if the owner gets its weighted share. */
    double tokensAhead(String ownerName) {
        OwnerQueue own = owners.get(ownerName);
        long ownTokens = own == null ? 0 : own.tokens;
        double ownWeight = weightOfOwner.applyAsDouble(ownerName);
        double weights = own == null ? ownWeight : 0;
        for (OwnerQueue owner : owners.values()) {
            weights += weightOfOwner.applyAsDouble(owner.name);
        }
        return Math.min((double) tokens, ownTokens * weights / ownWeight);
    }

    /**
     * Returns the next ticket that may be dispatched, without removing it; null if there is none. Credits all owners
     * with a dispatchable ticket with the number of rounds after which the first of them can pay for its ticket.
     */
    QueueTicket next(Predicate<QueueTicket> dispatchable) {
        double rounds = Double.POSITIVE_INFINITY;
        for (OwnerQueue owner : owners.values()) {
            owner.head = owner.earliest(dispatchable);
            if (owner.head != null) {
                owner.creditPerRound = quantumTokens * weightOfOwner.applyAsDouble(owner.name);
                double missingTokens = owner.head.request().tokens() - owner.deficitTokens;
                rounds = Math.min(rounds, Math.max(0, Math.ceil(missingTokens / owner.creditPerRound)));
            }
        }
        if (rounds == Double.POSITIVE_INFINITY) {
            return null;
        }
        QueueTicket first = null;
        for (OwnerQueue owner : owners.values()) {
            if (owner.head == null) {
                continue;
            }
            owner.deficitTokens += rounds * owner.creditPerRound;
            if (first == null && owner.deficitTokens >= owner.head.request().tokens()) {
                first = owner.head;
            }
        }
        return first;
    }

    /** Deducts the tokens of a dispatched ticket from its owner's credit. */
    void charge(QueueTicket ticket) {
        OwnerQueue owner = owners.get(ticket.request().owner());
        owner.deficitTokens -= ticket.request().tokens();
    }

    /**
     * Returns the ticket to displace, the displaceable one with the latest first-token deadline of the owner with the most
     * waiting requests per weight; null if no owner exceeds the minimum or that owner has no displaceable ticket.
     *
     * @param minRequestsPerWeight requests per weight that the owner must exceed
     */
    QueueTicket displacementVictim(double minRequestsPerWeight) {
        OwnerQueue heaviest = null;
        double maxRequestsPerWeight = minRequestsPerWeight;
        for (OwnerQueue owner : owners.values()) {
            double requests = owner.requests / weightOfOwner.applyAsDouble(owner.name);
            if (requests > maxRequestsPerWeight) {
                maxRequestsPerWeight = requests;
                heaviest = owner;
            }
        }
        return heaviest == null ? null : heaviest.latestDisplaceable();
    }

    private static final class OwnerQueue {
        private final String name;
        private final Map<String, TreeSet<QueueTicket>> ticketsByEntry = new LinkedHashMap<>();
        private int requests;
        private long tokens;
        private double deficitTokens;
        private double creditPerRound;
        private QueueTicket head;

        private OwnerQueue(String name) {
            this.name = name;
        }

        private void add(QueueTicket ticket) {
            ticketsByEntry
                    .computeIfAbsent(
                            ticket.request().entry(), entry -> new TreeSet<>(QueueTicket.BY_FIRST_TOKEN_DEADLINE))
                    .add(ticket);
            requests++;
            tokens += ticket.request().tokens();
        }

        private void remove(QueueTicket ticket) {
            TreeSet<QueueTicket> tickets = ticketsByEntry.get(ticket.request().entry());
            tickets.remove(ticket);
            if (tickets.isEmpty()) {
                ticketsByEntry.remove(ticket.request().entry());
            }
            requests--;
            tokens -= ticket.request().tokens();
        }

        private QueueTicket earliest(Predicate<QueueTicket> dispatchable) {
            QueueTicket earliest = null;
            for (TreeSet<QueueTicket> tickets : ticketsByEntry.values()) {
                QueueTicket first = tickets.first();
                boolean earlier = earliest == null || QueueTicket.BY_FIRST_TOKEN_DEADLINE.compare(first, earliest) < 0;
                if (earlier && dispatchable.test(first)) {
                    earliest = first;
                }
            }
            return earliest;
        }

        private QueueTicket latestDisplaceable() {
            QueueTicket latest = null;
            for (TreeSet<QueueTicket> tickets : ticketsByEntry.values()) {
                QueueTicket last = lastDisplaceable(tickets);
                boolean later = latest == null
                        || (last != null && QueueTicket.BY_FIRST_TOKEN_DEADLINE.compare(last, latest) > 0);
                if (later) {
                    latest = last;
                }
            }
            return latest;
        }

        private static QueueTicket lastDisplaceable(TreeSet<QueueTicket> tickets) {
            for (QueueTicket ticket : tickets.descendingSet()) {
                if (ticket.displaceable()) {
                    return ticket;
                }
            }
            return null;
        }
    }
}
