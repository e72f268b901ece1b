package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.IntFunction;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.request.ClaimAnswer;

/**
 * The claim writers of one node. The writer of a partition is created with the first request for the partition. All
 * methods must be called on the thread of the writers' executor.
 */
public final class ClaimEndpoint {
    private final int partitions;
    private final IntFunction<ClaimWriter> writerFactory;
    private final Map<Integer, ClaimWriter> writers = new HashMap<>();

    public ClaimEndpoint(int partitions, IntFunction<ClaimWriter> writerFactory) {
        this.partitions = partitions;
        this.writerFactory = writerFactory;
    }

    /** Passes a claim to the writer of its partition. */
    public CompletionStage<ClaimAnswer> claim(int partition, ClaimRequest request) {
        return writer(partition).claim(request);
    }

    /** Passes a settlement or an abandonment to the writer of its partition; see {@link ClaimWriter#record}. */
    public CompletionStage<Boolean> record(int partition, ClaimRecord resolution) {
        return writer(partition).record(resolution);
    }

    /**
     * Handles a message from another node. Returns empty if the message is not about claims.
     *
     * <p>Fails with {@code BAD_FRAME} on a malformed message.
     */
    public Optional<CompletionStage<PeerMessage>> handle(PeerMessage message) {
        if (message.type().equals(ClaimMessages.CLAIM)) {
            ClaimMessages.Partitioned<ClaimRequest> claim = ClaimMessages.decodeClaim(message);
            return Optional.of(claim(claim.partition(), claim.payload()).thenApply(ClaimMessages::encodeAnswer));
        }
        if (message.type().equals(ClaimMessages.CLAIM_RESOLUTION)) {
            ClaimMessages.Partitioned<List<ClaimRecord>> resolution = ClaimMessages.decodeResolution(message);
            CompletionStage<Boolean> recorded = CompletableFuture.completedFuture(true);
            for (ClaimRecord record : resolution.payload()) {
                recorded = recorded.thenCombine(record(resolution.partition(), record), Boolean::logicalAnd);
            }
            return Optional.of(recorded.thenApply(ClaimMessages::encodeResolutionAnswer));
        }
        return Optional.empty();
    }

    /**
     * Starts the writers of the partitions for which this node ranks first, so that they have read the log before a claim
     * arrives, and stops the writers of other partitions once they are idle.
     */
    public void reassignWriters(String selfAddress, List<String> liveNodes) {
        for (int partition = 0; partition < partitions; partition++) {
            List<String> ranking = RendezvousHash.rank(ClaimClient.rendezvousKey(partition), liveNodes);
            if (!ranking.isEmpty() && ranking.get(0).equals(selfAddress)) {
                writer(partition);
            } else if (writers.containsKey(partition) && writers.get(partition).idle()) {
                writers.remove(partition);
            }
        }
    }

    /** Returns the status of each running writer. */
    public List<ClaimWriterStatus> status() {
        return writers.values().stream().map(ClaimWriter::status).toList();
    }

    /** Ticks every writer. Must be called at least once per append interval. */
    public void tick() {
        List.copyOf(writers.values()).forEach(ClaimWriter::tick);
    }

    private ClaimWriter writer(int partition) {
        if (partition < 0 || partition >= partitions) {
            throw TypedRecord.badFrame(
                    "partition " + partition + " of " + partitions
                            + " does not exist; all nodes must be configured with the same number of partitions",
                    null);
        }
        return writers.computeIfAbsent(partition, writerFactory::apply);
    }
}
