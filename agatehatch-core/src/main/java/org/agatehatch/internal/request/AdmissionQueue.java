package org.agatehatch.internal.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.agatehatch.api.catalogue.Owner;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.routing.AdmissionPolicy;
import org.agatehatch.api.routing.AdmissionRequest;
import org.agatehatch.api.routing.AdmissionVerdict;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.OwnerShares;

/**
 * Admission queue of one pool at this node. Requests are dispatched in priority order; within a priority, owners share
 * capacity by deficit round robin, weighted by their guaranteed share over their observed use; within an owner, the
 * request with the earliest first-token deadline is dispatched first.
 *
 * <p>Thread safe. Each request leaves the queue exactly once: dispatched, refused, displaced, or removed on
 * cancellation.
 */
public final class AdmissionQueue {
    private static final String STEP = "queue";
    private static final String LOCAL_PEER = "self";
    /** At the request rates that the limits are sized for, a full queue drains within about one second. */
    private static final long FULL_RETRY_AFTER_MILLIS = TimeUnit.SECONDS.toMillis(1);

    private final String pool;
    private final AdmissionLimits limits;
    private final AdmissionPolicy policy;
    private final HoldbackPolicy holdback;
    private final OwnerShares shares;
    private final MonotonicClock clock;

    private final ReentrantLock lock = new ReentrantLock();
    private final TreeMap<Integer, PriorityLevel> levels = new TreeMap<>(Comparator.reverseOrder());
    private final TreeSet<QueueTicket> byQueueDeadline = new TreeSet<>(QueueTicket.BY_QUEUE_DEADLINE);
    private final Map<String, Integer> waitingByOwner = new HashMap<>();
    private final TreeMap<Integer, Long> inFlightTokens = new TreeMap<>(Comparator.reverseOrder());
    private long waitingBytes;
    private long nextNumber;

    /** Creates an empty queue for one pool. */
    public AdmissionQueue(
            String pool,
            AdmissionLimits limits,
            AdmissionPolicy policy,
            HoldbackPolicy holdback,
            OwnerShares shares,
            MonotonicClock clock) {
        this.pool = pool;
        this.limits = limits;
        this.policy = policy;
        this.holdback = holdback;
        this.shares = shares;
        this.clock = clock;
    }

    /**
     * Adds a request. If the queue is full, it may displace waiting requests of a lower priority or of an owner that
     * exceeds its weighted share; these are refused with {@link ErrorCode#OVERLOADED}.
     *
     * @param load current load of the runners that may serve the request
     * @throws AgatehatchException with {@link ErrorCode#OWNER_LIMIT_REACHED} or {@link ErrorCode#OVERLOADED}, outcome
     *     {@link Outcome#NOT_RUN} and a retry-after time, if the request is not admitted
     */
    public QueueTicket offer(QueuedRequest queued, PoolLoad load) {
        AdmissionRequest request = queued.request();
        checkTokenLimit(request);
        List<QueueTicket> displaced = new ArrayList<>();
        QueueTicket ticket;
        lock.lock();
        try {
            checkQueuedLimit(request);
            double predictedMillis = predictFirstTokenMillis(request, load);
            AdmissionVerdict verdict = policy.decide(request, clock.nanos(), predictedMillis);
            if (!verdict.admitted()) {
                throw overloaded(verdict.reason(), verdict.retryAfterMillis());
            }
            makeRoom(request, displaced);
            ticket = new QueueTicket(queued, nextNumber++, true);
            insert(ticket);
        } finally {
            lock.unlock();
        }
        for (QueueTicket victim : displaced) {
            victim.queued()
                    .refuse()
                    .accept(overloaded(
                            "the request was displaced from the full queue by a request of a higher priority or of an"
                                    + " owner with fewer waiting requests for its share",
                            FULL_RETRY_AFTER_MILLIS));
        }
        return ticket;
    }

    /**
     * Adds a request that was admitted before: a retry, or a request that could not be sent to the server chosen for it.
     * The limits on new requests do not apply, and new requests do not displace it, because a refusal would end a request
     * whose response the caller may have received in part.
     */
    public QueueTicket offerAdmitted(QueuedRequest queued) {
        lock.lock();
        try {
            QueueTicket ticket = new QueueTicket(queued, nextNumber++, false);
            insert(ticket);
            return ticket;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Commits and returns the next request that may be dispatched now. Drops requests whose commit fails, because they
     * were cancelled or timed out while waiting.
     *
     * @param dispatchable whether a runner has capacity for the request; evaluated at most once per entry, under the
     *     lock
     * @param saturation utilization of the pool, 1 when it is full; used only by the holdback policy
     */
    public Optional<QueueTicket> poll(Predicate<AdmissionRequest> dispatchable, double saturation) {
        Map<String, Boolean> dispatchableByEntry = new HashMap<>();
        Predicate<QueueTicket> cachedDispatchable = ticket -> dispatchableByEntry.computeIfAbsent(
                ticket.request().entry(), entry -> dispatchable.test(ticket.request()));
        lock.lock();
        try {
            while (true) {
                QueueTicket next = next(cachedDispatchable, saturation);
                if (next == null) {
                    return Optional.empty();
                }
                if (next.queued().tryCommit().getAsBoolean()) {
                    levels.get(next.request().priority()).charge(next);
                    extract(next, QueueTicket.State.DISPATCHED);
                    inFlightTokens.merge(
                            next.request().priority(), next.request().tokens(), Long::sum);
                    return Optional.of(next);
                }
                extract(next, QueueTicket.State.REMOVED);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Records that a dispatched request ended, whatever its outcome. Idempotent. */
    public void finished(QueueTicket ticket) {
        lock.lock();
        try {
            if (ticket.state() != QueueTicket.State.DISPATCHED) {
                return;
            }
            ticket.state(QueueTicket.State.REMOVED);
            long tokens = ticket.request().tokens();
            inFlightTokens.computeIfPresent(
                    ticket.request().priority(), (priority, sum) -> sum <= tokens ? null : sum - tokens);
        } finally {
            lock.unlock();
        }
    }

    /** Removes a cancelled request. Returns whether it was still waiting. */
    public boolean remove(QueueTicket ticket) {
        lock.lock();
        try {
            if (ticket.state() != QueueTicket.State.WAITING) {
                return false;
            }
            extract(ticket, QueueTicket.State.REMOVED);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Refuses all requests whose queue deadline has passed. Must be called every few milliseconds. */
    public void expire() {
        List<QueueTicket> expired = new ArrayList<>();
        lock.lock();
        try {
            long nowNanos = clock.nanos();
            while (!byQueueDeadline.isEmpty()
                    && byQueueDeadline.first().queued().queueDeadlineNanos() - nowNanos <= 0) {
                QueueTicket first = byQueueDeadline.first();
                extract(first, QueueTicket.State.REMOVED);
                expired.add(first);
            }
        } finally {
            lock.unlock();
        }
        for (QueueTicket ticket : expired) {
            ticket.queued()
                    .refuse()
                    .accept(notRun(
                            ErrorCode.DEADLINE_EXCEEDED,
                            "the request waited in the queue of pool '" + pool
                                    + "' until its deadline; send it again later, or allow a longer wait"));
        }
    }

    public int waitingRequests() {
        lock.lock();
        try {
            return byQueueDeadline.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the total size of the waiting requests. */
    public long waitingBytes() {
        lock.lock();
        try {
            return waitingBytes;
        } finally {
            lock.unlock();
        }
    }

    private void checkTokenLimit(AdmissionRequest request) {
        Optional<Owner> owner = shares.owner(request.owner());
        if (owner.isEmpty()) {
            return;
        }
        long waitMillis = shares.millisUntilBelowLimit(owner.get());
        if (waitMillis > 0) {
            throw notRun(
                            ErrorCode.OWNER_LIMIT_REACHED,
                            "owner '" + request.owner() + "' uses more than its max_tokens_per_second of "
                                    + owner.get().maxTokensPerSecond()
                                    + "; send fewer requests or have the limit raised")
                    .withRetryAfterMillis(Math.max(FULL_RETRY_AFTER_MILLIS, waitMillis));
        }
    }

    private void checkQueuedLimit(AdmissionRequest request) {
        Optional<Owner> owner = shares.owner(request.owner());
        int waiting = waitingByOwner.getOrDefault(request.owner(), 0);
        if (owner.isPresent() && waiting >= owner.get().maxQueuedRequests()) {
            throw notRun(
                            ErrorCode.OWNER_LIMIT_REACHED,
                            "owner '" + request.owner() + "' has " + waiting
                                    + " requests waiting at this node, which is its max_queued_requests; wait for"
                                    + " answers before sending more")
                    .withRetryAfterMillis(FULL_RETRY_AFTER_MILLIS);
        }
    }

    private double predictFirstTokenMillis(AdmissionRequest request, PoolLoad load) {
        if (load.tokensPerSecond() <= 0) {
            return load.bestFirstTokenMillis();
        }
        double tokensAhead = 0;
        for (Map.Entry<Integer, PriorityLevel> level : levels.entrySet()) {
            if (level.getKey() > request.priority()) {
                tokensAhead += level.getValue().tokens();
            } else if (level.getKey() == request.priority()) {
                tokensAhead += level.getValue().tokensAhead(request.owner());
            }
        }
        return load.bestFirstTokenMillis() + 1_000 * tokensAhead / load.tokensPerSecond();
    }

    /**
     * Displaces waiting requests until the new request fits. If not enough of them may be displaced, puts them back and
     * refuses the new request.
     */
    private void makeRoom(AdmissionRequest request, List<QueueTicket> displaced) {
        while (byQueueDeadline.size() >= limits.maxRequests() || waitingBytes + request.bytes() > limits.maxBytes()) {
            QueueTicket victim = victim(request);
            if (victim == null) {
                displaced.forEach(this::insert);
                throw overloaded(
                        "the queue of pool '" + pool + "' is full with " + byQueueDeadline.size() + " requests and "
                                + waitingBytes + " bytes",
                        FULL_RETRY_AFTER_MILLIS);
            }
            extract(victim, QueueTicket.State.REMOVED);
            displaced.add(victim);
        }
    }

    /**
     * Returns a waiting request of the lowest priority if that is below the priority of the new request. At equal
     * priority, returns one of an owner that has more waiting requests per weight than the owner of the new request
     * would have with it. Returns null if no request may be displaced.
     */
    private QueueTicket victim(AdmissionRequest request) {
        if (levels.isEmpty()) {
            return null;
        }
        Map.Entry<Integer, PriorityLevel> lowest = levels.lastEntry();
        if (lowest.getKey() < request.priority()) {
            return lowest.getValue().displacementVictim(0);
        }
        if (lowest.getKey() > request.priority()) {
            return null;
        }
        double ownRequests = lowest.getValue().requests(request.owner()) + 1;
        return lowest.getValue().displacementVictim(ownRequests / shares.weight(request.owner()));
    }

    private QueueTicket next(Predicate<QueueTicket> dispatchable, double saturation) {
        Map<Integer, Double> ceilings = ceilings(saturation);
        for (Map.Entry<Integer, PriorityLevel> level : levels.entrySet()) {
            if (saturation >= ceilings.getOrDefault(level.getKey(), Double.POSITIVE_INFINITY)) {
                return null;
            }
            QueueTicket next = level.getValue().next(dispatchable);
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    /** Returns the admission ceiling of each active priority, that is, with requests waiting or in flight. */
    private Map<Integer, Double> ceilings(double saturation) {
        TreeMap<Integer, Long> active = new TreeMap<>(inFlightTokens);
        levels.keySet().forEach(priority -> active.putIfAbsent(priority, 0L));
        Map<Integer, Double> byPriority = new HashMap<>();
        if (active.size() < 2) {
            return byPriority;
        }
        double total = Math.max(
                1, inFlightTokens.values().stream().mapToLong(Long::longValue).sum());
        double[] saturationByRank = active.values().stream()
                .mapToDouble(tokens -> saturation * tokens / total)
                .toArray();
        double[] ceilings = holdback.ceilings(saturationByRank);
        int rank = 0;
        for (Integer priority : active.keySet()) {
            byPriority.put(priority, ceilings[rank++]);
        }
        return byPriority;
    }

    private void insert(QueueTicket ticket) {
        AdmissionRequest request = ticket.request();
        ticket.state(QueueTicket.State.WAITING);
        levels.computeIfAbsent(
                        request.priority(), priority -> new PriorityLevel(limits.quantumTokens(), shares::weight))
                .add(ticket);
        byQueueDeadline.add(ticket);
        waitingByOwner.merge(request.owner(), 1, Integer::sum);
        waitingBytes += request.bytes();
    }

    private void extract(QueueTicket ticket, QueueTicket.State state) {
        AdmissionRequest request = ticket.request();
        ticket.state(state);
        PriorityLevel level = levels.get(request.priority());
        level.remove(ticket);
        if (level.isEmpty()) {
            levels.remove(request.priority());
        }
        byQueueDeadline.remove(ticket);
        waitingByOwner.computeIfPresent(request.owner(), (owner, count) -> count == 1 ? null : count - 1);
        waitingBytes -= request.bytes();
    }

    private AgatehatchException overloaded(String cause, long retryAfterMillis) {
        return notRun(ErrorCode.OVERLOADED, cause + "; send the request again after the time in Retry-After")
                .withRetryAfterMillis(retryAfterMillis);
    }

    private static AgatehatchException notRun(ErrorCode code, String message) {
        return new AgatehatchException(code, STEP, LOCAL_PEER, Outcome.NOT_RUN, message);
    }
}
