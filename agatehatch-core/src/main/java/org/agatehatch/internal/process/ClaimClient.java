package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.request.AttemptId;
import org.agatehatch.internal.request.ClaimAnswer;
import org.agatehatch.internal.request.ClaimScope;
import org.agatehatch.internal.request.RequestStateMachine;

/**
 * Claims idempotency keys for this node's requests and records how the claims were resolved: a claim is settled if its
 * request ran or may have run, and abandoned if the request certainly did not run.
 *
 * <p>All methods must be called on the executor's thread.
 */
public final class ClaimClient {
    private static final int MAX_WRITERS_TRIED = 3;
    private static final long RESOLUTION_TIMEOUT_MILLIS = 10_000;
    private static final long RETRY_MILLIS = 1_000;

    /**
     * Bounds the memory during a long outage of the log. Beyond it the oldest resolutions are dropped, and repeats of
     * their keys are answered with an unknown outcome.
     */
    private static final int MAX_PENDING_RESOLUTIONS = 10_000;

    /**
     * This node as the holder of its claims.
     *
     * @param address peer address of this node
     * @param incarnation identity of this process; changes with each restart
     */
    public record Claimant(String address, String incarnation) {}

    private static final class PendingResolution {
        private final ClaimScope scope;
        private final ClaimRecord record;
        private final long expiresAtMillis;
        private boolean inFlight;
        private int sendCount;
        private long retryAtMillis;

        private PendingResolution(ClaimScope scope, ClaimRecord record, long expiresAtMillis) {
            this.scope = scope;
            this.record = record;
            this.expiresAtMillis = expiresAtMillis;
        }
    }

    private final Claimant self;
    private final int partitions;
    private final Supplier<List<String>> liveNodes;
    private final ClaimEndpoint local;
    private final PeerTransport peers;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Executor executor;
    private final Map<String, PendingResolution> resolutions = new LinkedHashMap<>();
    private long droppedResolutions;

    /**
     * Creates a client.
     *
     * @param partitions number of claim partitions, the same on all nodes
     * @param liveNodes addresses of the live nodes, including this node
     * @param local the claim writers of this node
     * @param random source of claim ids; must not repeat its sequence after a restart
     */
    public ClaimClient(
            Claimant self,
            int partitions,
            Supplier<List<String>> liveNodes,
            ClaimEndpoint local,
            PeerTransport peers,
            MonotonicClock clock,
            RandomGenerator random,
            Executor executor) {
        this.self = self;
        this.partitions = partitions;
        this.liveNodes = liveNodes;
        this.local = local;
        this.peers = peers;
        this.clock = clock;
        this.random = random;
        this.executor = executor;
    }

    /**
     * Claims a key at up to three writers in turn, under one claim id. The stage completes by the deadline or when the
     * claim is too old to dispatch a request on, whichever is earlier, and never exceptionally. Any answer other than
     * {@code Granted} is final: the client does not use the claim afterwards.
     */
    public CompletionStage<ClaimAnswer> claim(ClaimScope scope, long fingerprint, long deadlineMillis) {
        long sentAtMillis = clock.millis();
        long claimDeadlineMillis =
                Math.min(deadlineMillis, sentAtMillis + RequestStateMachine.CLAIM_DISPATCH_LIMIT_MILLIS);
        List<String> writers = rankWriters(scope);
        PendingClaim pending = new PendingClaim(
                scope,
                fingerprint,
                AttemptId.random(random).toString(),
                sentAtMillis,
                claimDeadlineMillis,
                writers.subList(0, Math.min(MAX_WRITERS_TRIED, writers.size())));
        CompletableFuture<ClaimAnswer> result = new CompletableFuture<>();
        tryWriter(pending, 0, result);
        return result;
    }

    private record PendingClaim(
            ClaimScope scope,
            long fingerprint,
            String claimId,
            long sentAtMillis,
            long claimDeadlineMillis,
            List<String> writers) {}

    private void tryWriter(PendingClaim pending, int index, CompletableFuture<ClaimAnswer> result) {
        long remainingMillis = pending.claimDeadlineMillis - clock.millis();
        if (index >= pending.writers.size() || remainingMillis <= 0) {
            boolean inDoubt = index > 0;
            ClaimAnswer none = new ClaimAnswer.Unavailable(RETRY_MILLIS, "no claim writer answered in time", inDoubt);
            completeRefused(pending, none, inDoubt, result);
            return;
        }
        long timeoutMillis = Math.max(1, remainingMillis / (pending.writers.size() - index));
        send(pending, pending.writers.get(index), timeoutMillis)
                .whenCompleteAsync(
                        (answer, failure) -> {
                            if (failure != null) {
                                tryWriter(pending, index + 1, result);
                            } else if (answer instanceof ClaimAnswer.Granted granted) {
                                onGranted(pending, granted, index, result);
                            } else {
                                completeRefused(pending, answer, index > 0, result);
                            }
                        },
                        executor);
    }

    private void onGranted(
            PendingClaim pending, ClaimAnswer.Granted granted, int index, CompletableFuture<ClaimAnswer> result) {
        if (granted.claimId().equals(pending.claimId)) {
            result.complete(new ClaimAnswer.Granted(pending.claimId, pending.sentAtMillis));
            return;
        }
        tryWriter(pending, index + 1, result);
    }

    /**
     * Completes a claim that was not granted. If the claim is in the log or may still get there, it is abandoned, so that a
     * repeat of the request can claim the key.
     */
    private void completeRefused(
            PendingClaim pending, ClaimAnswer answer, boolean earlierInDoubt, CompletableFuture<ClaimAnswer> result) {
        if (earlierInDoubt || (answer instanceof ClaimAnswer.Unavailable unavailable && unavailable.inDoubt())) {
            abandon(pending.claimId, pending.scope);
        }
        result.complete(answer);
    }

    private CompletionStage<ClaimAnswer> send(PendingClaim pending, String writer, long timeoutMillis) {
        int partition = pending.scope.partition(partitions);
        ClaimRequest request = new ClaimRequest(
                pending.claimId,
                pending.scope.hash(),
                pending.fingerprint,
                self.address(),
                self.incarnation(),
                timeoutMillis);
        if (writer.equals(self.address())) {
            return local.claim(partition, request);
        }
        return peers.ask(writer, ClaimMessages.encodeClaim(partition, request), timeoutMillis)
                .thenApply(message -> ClaimMessages.decodeAnswer(message, pending.sentAtMillis));
    }

    /**
     * Records the outcome of a claim's run. The settlement is sent again until a writer has read it back from the log or
     * the claim has expired.
     */
    public void settle(String claimId, ClaimScope scope, Outcome outcome, ClaimAnswer.Settled storedAnswer) {
        if (outcome == Outcome.NOT_RUN) {
            throw new IllegalArgumentException("a claim whose request did not run must be abandoned, not settled");
        }
        addResolution(claimId, scope, new ClaimRecord.Settled(claimId, scope.hash(), outcome, storedAnswer));
    }

    /** Records that the claim's request did not run. The caller must not dispatch an attempt for this claim afterwards. */
    public void abandon(String claimId, ClaimScope scope) {
        addResolution(claimId, scope, new ClaimRecord.Abandoned(claimId, scope.hash()));
    }

    private void addResolution(String claimId, ClaimScope scope, ClaimRecord record) {
        if (record instanceof ClaimRecord.Abandoned && resolutions.size() >= MAX_PENDING_RESOLUTIONS / 2) {
            // Half of the room is reserved for settlements: without its settlement, a repeat of a key whose request
            // succeeded is answered with an unknown outcome.
            droppedResolutions++;
            return;
        }
        if (resolutions.size() >= MAX_PENDING_RESOLUTIONS) {
            Iterator<PendingResolution> oldest = resolutions.values().iterator();
            oldest.next();
            oldest.remove();
            droppedResolutions++;
        }
        long nowMillis = clock.millis();
        PendingResolution resolution =
                new PendingResolution(scope, record, nowMillis + ClaimWriterSettings.DEFAULT_CLAIM_TTL_MILLIS);
        resolutions.put(claimId, resolution);
        sendResolution(claimId, resolution, nowMillis);
    }

    /** Sends unconfirmed resolutions again. Must be called at least once a second. */
    public void tick() {
        long nowMillis = clock.millis();
        resolutions.values().removeIf(resolution -> resolution.expiresAtMillis <= nowMillis);
        for (Map.Entry<String, PendingResolution> entry : new ArrayList<>(resolutions.entrySet())) {
            if (!entry.getValue().inFlight && entry.getValue().retryAtMillis <= nowMillis) {
                sendResolution(entry.getKey(), entry.getValue(), nowMillis);
            }
        }
    }

    /** Returns the number of resolutions that no writer has confirmed yet. */
    public int unconfirmedResolutions() {
        return resolutions.size();
    }

    /** Returns the number of resolutions that were dropped because too many were pending. */
    public long droppedResolutions() {
        return droppedResolutions;
    }

    private void sendResolution(String claimId, PendingResolution resolution, long nowMillis) {
        List<String> writers = rankWriters(resolution.scope);
        String writer = writers.get(resolution.sendCount % Math.min(MAX_WRITERS_TRIED, writers.size()));
        resolution.sendCount++;
        resolution.inFlight = true;
        resolution.retryAtMillis = nowMillis + RETRY_MILLIS;
        sendResolutionTo(writer, resolution)
                .whenCompleteAsync(
                        (recorded, failure) -> {
                            resolution.inFlight = false;
                            if (failure == null && recorded) {
                                resolutions.remove(claimId, resolution);
                            }
                        },
                        executor);
    }

    private CompletionStage<Boolean> sendResolutionTo(String writer, PendingResolution resolution) {
        int partition = resolution.scope.partition(partitions);
        if (writer.equals(self.address())) {
            return local.record(partition, resolution.record);
        }
        return peers.ask(
                        writer, ClaimMessages.encodeResolution(partition, resolution.record), RESOLUTION_TIMEOUT_MILLIS)
                .thenApply(ClaimMessages::decodeResolutionAnswer);
    }

    static String rendezvousKey(int partition) {
        return LogStreams.claims(partition);
    }

    private List<String> rankWriters(ClaimScope scope) {
        List<String> nodes = liveNodes.get();
        List<String> candidates = nodes.isEmpty() ? List.of(self.address()) : nodes;
        return RendezvousHash.rank(rendezvousKey(scope.partition(partitions)), candidates);
    }
}
