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
 * Claims idempotency keys for the requests of this node and records how their runs ended. All methods are called on the
 * thread of the executor.
 */
public final class ClaimClient {
    private static final int MAX_WRITERS_ASKED = 3;
    private static final long NOTE_TIMEOUT_MILLIS = 10_000;
    private static final long NOTE_RETRY_MILLIS = 1_000;

    /** Bounds the memory during a long outage of the log; beyond, the oldest notes are lost and their keys unknown. */
    private static final int MAX_NOTES = 10_000;

    /**
     * This node as the claims name it.
     *
     * @param incarnation identity of this process, another one after each restart
     */
    public record Self(String address, String incarnation) {}

    private static final class Note {
        private final ClaimScope scope;
        private final ClaimRecord record;
        private final long dueUntilMillis;
        private boolean asked;
        private int rank;
        private long retryAtMillis;

        private Note(ClaimScope scope, ClaimRecord record, long dueUntilMillis) {
            this.scope = scope;
            this.record = record;
            this.dueUntilMillis = dueUntilMillis;
        }
    }

    private final Self self;
    private final int partitions;
    private final Supplier<List<String>> liveNodes;
    private final ClaimEndpoint local;
    private final PeerTransport peers;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Executor executor;
    private final Map<String, Note> notes = new LinkedHashMap<>();
    private long lostNotes;

    /**
     * Creates a client.
     *
     * @param liveNodes addresses of the live nodes with this one
     * @param random must not repeat after a restart
     */
    public ClaimClient(
            Self self,
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
     * Claims a key. The answer comes by the deadline or when the claim would be too old to dispatch on, whichever is
     * first, and never as a failure. An answer other than {@code Granted} is final: the claim is given up.
     */
    public CompletionStage<ClaimAnswer> claim(ClaimScope scope, long fingerprint, long deadlineMillis) {
        long sentAtMillis = clock.millis();
        long untilMillis = Math.min(deadlineMillis, sentAtMillis + RequestStateMachine.CLAIM_DISPATCH_LIMIT_MILLIS);
        List<String> writers = ranking(scope);
        Claiming claiming = new Claiming(
                scope,
                fingerprint,
                AttemptId.random(random).toString(),
                sentAtMillis,
                untilMillis,
                writers.subList(0, Math.min(MAX_WRITERS_ASKED, writers.size())));
        CompletableFuture<ClaimAnswer> result = new CompletableFuture<>();
        ask(claiming, 0, result);
        return result;
    }

    private record Claiming(
            ClaimScope scope,
            long fingerprint,
            String claimId,
            long sentAtMillis,
            long untilMillis,
            List<String> writers) {}

    private void ask(Claiming claiming, int index, CompletableFuture<ClaimAnswer> result) {
        long remainingMillis = claiming.untilMillis - clock.millis();
        if (index >= claiming.writers.size() || remainingMillis <= 0) {
            boolean inDoubt = index > 0;
            ClaimAnswer none =
                    new ClaimAnswer.Unavailable(NOTE_RETRY_MILLIS, "no claim writer answered in time", inDoubt);
            refused(claiming, none, inDoubt, result);
            return;
        }
        long timeoutMillis = Math.max(1, remainingMillis / (claiming.writers.size() - index));
        send(claiming, claiming.writers.get(index), timeoutMillis)
                .whenCompleteAsync(
                        (answer, failure) -> {
                            if (failure != null) {
                                ask(claiming, index + 1, result);
                            } else if (answer instanceof ClaimAnswer.Granted granted) {
                                onGranted(claiming, granted, index, result);
                            } else {
                                refused(claiming, answer, index > 0, result);
                            }
                        },
                        executor);
    }

    private void onGranted(
            Claiming claiming, ClaimAnswer.Granted granted, int index, CompletableFuture<ClaimAnswer> result) {
        if (granted.claimId().equals(claiming.claimId)) {
            result.complete(new ClaimAnswer.Granted(claiming.claimId, claiming.sentAtMillis));
            return;
        }
        ask(claiming, index + 1, result);
    }

    /** If the claim may be in the log, or get there later, a note frees its key for the caller's repeat. */
    private void refused(
            Claiming claiming, ClaimAnswer answer, boolean earlierInDoubt, CompletableFuture<ClaimAnswer> result) {
        if (earlierInDoubt || (answer instanceof ClaimAnswer.Unavailable unavailable && unavailable.inDoubt())) {
            abandon(claiming.claimId, claiming.scope);
        }
        result.complete(answer);
    }

    private CompletionStage<ClaimAnswer> send(Claiming claiming, String writer, long timeoutMillis) {
        int partition = claiming.scope.partition(partitions);
        ClaimRequest request = new ClaimRequest(
                claiming.claimId,
                claiming.scope.hash(),
                claiming.fingerprint,
                self.address(),
                self.incarnation(),
                timeoutMillis);
        if (writer.equals(self.address())) {
            return local.claim(partition, request);
        }
        return peers.ask(writer, ClaimMessages.claim(partition, request), timeoutMillis)
                .thenApply(message -> ClaimMessages.toAnswer(message, claiming.sentAtMillis));
    }

    /** Records the end of a run. The note is sent until a writer has read it back. */
    public void settle(String claimId, ClaimScope scope, Outcome outcome, ClaimAnswer.Settled stored) {
        if (outcome == Outcome.NOT_RUN) {
            throw new IllegalArgumentException("a claim that did not run is abandoned, not settled");
        }
        addNote(claimId, scope, new ClaimRecord.Settled(claimId, scope.hash(), outcome, stored));
    }

    /** Records that a claim was never dispatched. Only for claims that no attempt will be dispatched on any more. */
    public void abandon(String claimId, ClaimScope scope) {
        addNote(claimId, scope, new ClaimRecord.Abandoned(claimId, scope.hash()));
    }

    private void addNote(String claimId, ClaimScope scope, ClaimRecord record) {
        if (record instanceof ClaimRecord.Abandoned && notes.size() >= MAX_NOTES / 2) {
            // Settlements matter more: without one, the key of a run that succeeded is answered as unknown.
            lostNotes++;
            return;
        }
        if (notes.size() >= MAX_NOTES) {
            Iterator<Note> oldest = notes.values().iterator();
            oldest.next();
            oldest.remove();
            lostNotes++;
        }
        long nowMillis = clock.millis();
        Note note = new Note(scope, record, nowMillis + ClaimWriterSettings.DEFAULT_KEEP_MILLIS);
        notes.put(claimId, note);
        sendNote(claimId, note, nowMillis);
    }

    /** Sends notes again that no writer has confirmed. Called at least once a second. */
    public void tick() {
        long nowMillis = clock.millis();
        notes.values().removeIf(note -> note.dueUntilMillis <= nowMillis);
        for (Map.Entry<String, Note> entry : new ArrayList<>(notes.entrySet())) {
            if (!entry.getValue().asked && entry.getValue().retryAtMillis <= nowMillis) {
                sendNote(entry.getKey(), entry.getValue(), nowMillis);
            }
        }
    }

    /** Returns the number of notes that no writer has confirmed yet. */
    public int unconfirmedNotes() {
        return notes.size();
    }

    /** Returns the number of notes that were dropped because too many waited. */
    public long lostNotes() {
        return lostNotes;
    }

    private void sendNote(String claimId, Note note, long nowMillis) {
        List<String> writers = ranking(note.scope);
        String writer = writers.get(note.rank % Math.min(MAX_WRITERS_ASKED, writers.size()));
        note.rank++;
        note.asked = true;
        note.retryAtMillis = nowMillis + NOTE_RETRY_MILLIS;
        sendNoteTo(writer, note)
                .whenCompleteAsync(
                        (recorded, failure) -> {
                            note.asked = false;
                            if (failure == null && recorded) {
                                notes.remove(claimId, note);
                            }
                        },
                        executor);
    }

    private CompletionStage<Boolean> sendNoteTo(String writer, Note note) {
        int partition = note.scope.partition(partitions);
        if (writer.equals(self.address())) {
            return local.record(partition, note.record);
        }
        return peers.ask(writer, ClaimMessages.note(partition, note.record), NOTE_TIMEOUT_MILLIS)
                .thenApply(ClaimMessages::toNoteAnswer);
    }

    static String rankingName(int partition) {
        return LogStreams.claims(partition);
    }

    private List<String> ranking(ClaimScope scope) {
        List<String> nodes = liveNodes.get();
        List<String> candidates = nodes.isEmpty() ? List.of(self.address()) : nodes;
        return RendezvousHash.rank(rankingName(scope.partition(partitions)), candidates);
    }
}
