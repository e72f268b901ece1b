package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.ClaimAnswer;

/**
 * State of one claim partition, built by applying its log records in order. Not thread-safe.
 *
 * <p>A claim holds its key from the offset of its record until it is abandoned or its time to live has passed. A claim
 * wins if it has the lowest first offset of all claims that hold the key. Claims that lost hold the key too, because a
 * registry that was built from other records may have let them win.
 *
 * <p>Ages are lower bounds, measured on monotonic clocks from the moment a record was read. Wall clocks are not used, so
 * a node whose clock is wrong cannot free a key early. A node that restarts measures again from its own read, so it
 * keeps a claim longer, never shorter.
 */
public final class ClaimRegistry {
    /** Bounds the memory that a malformed checkpoint can use. */
    private static final int MAX_CHECKPOINT_PARTS = 65_536;

    private static final class Claim {
        private final ClaimRecord.Claimed claimed;
        private long firstOffset;
        private long expiresAtMillis;
        private Optional<ClaimRecord.Settled> settled = Optional.empty();

        private Claim(ClaimRecord.Claimed claimed, long firstOffset, long expiresAtMillis) {
            this.claimed = claimed;
            this.firstOffset = firstOffset;
            this.expiresAtMillis = expiresAtMillis;
        }
    }

    private static final class PartialCheckpoint {
        private final BitSet receivedParts = new BitSet();
        private final Set<String> claimIds = new HashSet<>();
    }

    private final long claimTtlMillis;
    private final long maxTotalBodyBytes;
    private final Map<String, Claim> claimsById = new LinkedHashMap<>();
    private final Map<String, List<Claim>> claimsByScope = new HashMap<>();
    private final Map<String, Long> abandonedExpiryMillis = new LinkedHashMap<>();
    private final Map<String, ClaimRecord.Settled> unmatchedSettlements = new LinkedHashMap<>();
    private final Map<String, Long> unmatchedSettlementExpiryMillis = new LinkedHashMap<>();
    private final Map<String, PartialCheckpoint> partialCheckpoints = new LinkedHashMap<>();
    private long coveredThroughOffset = -1;
    private long bodyBytes;

    /**
     * Creates an empty registry.
     *
     * @param claimTtlMillis how long a claim holds its key; must exceed the window of idempotency keys by the longest time
     *     between the grant of a claim and its dispatch
     * @param maxTotalBodyBytes maximum total size of stored answer bodies; further answers are kept without their body
     */
    public ClaimRegistry(long claimTtlMillis, long maxTotalBodyBytes) {
        this.claimTtlMillis = claimTtlMillis;
        this.maxTotalBodyBytes = maxTotalBodyBytes;
    }

    /**
     * Applies the records of one batch. Batches must be applied in the order of the log.
     *
     * @param offset offset of the batch
     * @param readAtMillis monotonic time at which the batch was read
     */
    public void apply(long offset, List<ClaimRecord> records, long readAtMillis) {
        for (ClaimRecord record : records) {
            if (record instanceof ClaimRecord.Claimed claimed) {
                applyClaimed(offset, claimed, readAtMillis);
            } else if (record instanceof ClaimRecord.Settled settled) {
                applySettled(settled, readAtMillis);
            } else if (record instanceof ClaimRecord.Abandoned abandoned) {
                applyAbandoned(abandoned, readAtMillis);
            } else if (record instanceof ClaimRecord.Checkpoint checkpoint) {
                applyCheckpoint(checkpoint, records);
            }
        }
    }

    private void applyClaimed(long offset, ClaimRecord.Claimed claimed, long readAtMillis) {
        if (abandonedExpiryMillis.containsKey(claimed.claimId())) {
            return;
        }
        long firstOffset = claimed.firstOffset() < 0 ? offset : Math.min(offset, claimed.firstOffset());
        long expiresAtMillis = readAtMillis + Math.max(0, claimTtlMillis - claimed.ageMillis());
        Claim existing = claimsById.get(claimed.claimId());
        if (existing != null) {
            existing.firstOffset = Math.min(existing.firstOffset, firstOffset);
            existing.expiresAtMillis = Math.min(existing.expiresAtMillis, expiresAtMillis);
            return;
        }
        Claim claim = new Claim(claimed, firstOffset, expiresAtMillis);
        claimsById.put(claimed.claimId(), claim);
        claimsByScope
                .computeIfAbsent(claimed.scope(), unused -> new ArrayList<>(1))
                .add(claim);
        unmatchedSettlementExpiryMillis.remove(claimed.claimId());
        claim.settled = Optional.ofNullable(unmatchedSettlements.remove(claimed.claimId()));
    }

    private void applyAbandoned(ClaimRecord.Abandoned abandoned, long readAtMillis) {
        Claim claim = claimsById.get(abandoned.claimId());
        if (claim != null && claim.settled.isPresent()) {
            // The request ran, so the claim keeps its key even if an abandonment is also in the log.
            return;
        }
        abandonedExpiryMillis.put(abandoned.claimId(), readAtMillis + claimTtlMillis);
        if (claim != null) {
            remove(claim);
        }
    }

    private void applySettled(ClaimRecord.Settled settled, long readAtMillis) {
        ClaimRecord.Settled limited = dropBodyOverLimit(settled);
        Claim claim = claimsById.get(settled.claimId());
        if (claim == null) {
            // The log dropped the claim's own record. A later checkpoint may repeat it.
            if (unmatchedSettlements.putIfAbsent(settled.claimId(), limited) == null) {
                unmatchedSettlementExpiryMillis.put(settled.claimId(), readAtMillis + claimTtlMillis);
                bodyBytes += limited.storedAnswer().body().length;
            }
            return;
        }
        if (claim.settled.isEmpty()) {
            claim.settled = Optional.of(limited);
            bodyBytes += limited.storedAnswer().body().length;
        }
    }

    private ClaimRecord.Settled dropBodyOverLimit(ClaimRecord.Settled settled) {
        ClaimAnswer.Settled stored = settled.storedAnswer();
        if (bodyBytes + stored.body().length <= maxTotalBodyBytes) {
            return settled;
        }
        return new ClaimRecord.Settled(
                settled.claimId(),
                settled.scope(),
                settled.outcome(),
                new ClaimAnswer.Settled(
                        stored.status(), stored.contentType(), stored.bodyDigest(), new byte[0], false));
    }

    private void applyCheckpoint(ClaimRecord.Checkpoint checkpoint, List<ClaimRecord> batch) {
        boolean valid = checkpoint.partIndex() >= 0
                && checkpoint.partIndex() < checkpoint.partCount()
                && checkpoint.partCount() <= MAX_CHECKPOINT_PARTS;
        if (!valid || checkpoint.throughOffset() <= coveredThroughOffset) {
            return;
        }
        PartialCheckpoint partial =
                partialCheckpoints.computeIfAbsent(checkpoint.checkpointId(), unused -> new PartialCheckpoint());
        partial.receivedParts.set(checkpoint.partIndex());
        for (ClaimRecord record : batch) {
            if (record instanceof ClaimRecord.Claimed claimed) {
                partial.claimIds.add(claimed.claimId());
            }
        }
        if (partial.receivedParts.cardinality() < checkpoint.partCount()) {
            return;
        }
        coveredThroughOffset = checkpoint.throughOffset();
        partialCheckpoints.clear();
        // The writer of the checkpoint omitted only claims that were abandoned or whose time to live had passed.
        claimsById.values().stream()
                .filter(claim -> claim.firstOffset <= coveredThroughOffset)
                .filter(claim -> !partial.claimIds.contains(claim.claimed.claimId()))
                .toList()
                .forEach(this::remove);
    }

    /** Returns whether a complete checkpoint was applied that covers all records before the offset. */
    public boolean coversBefore(long offset) {
        return coveredThroughOffset >= offset - 1;
    }

    /** Returns whether a claim is the first of those that hold its key; empty if it does not hold its key. */
    public Optional<Boolean> wins(String claimId) {
        return Optional.ofNullable(claimsById.get(claimId)).map(claim -> firstHolder(claim.claimed.scope()) == claim);
    }

    /** Returns whether an abandonment of the claim was read and is still kept. */
    public boolean isAbandoned(String claimId) {
        return abandonedExpiryMillis.containsKey(claimId);
    }

    /** Returns whether a settlement of the claim was read and is still kept. */
    public boolean isSettled(String claimId) {
        Claim claim = claimsById.get(claimId);
        return claim == null ? unmatchedSettlements.containsKey(claimId) : claim.settled.isPresent();
    }

    /**
     * Returns the answer to a claim whose key other claims hold; empty if no other claim holds the key.
     *
     * @param ownClaimId the claimant's own claim, which is ignored
     * @param isLive tells whether the claimant with this node address and incarnation is considered alive
     */
    public Optional<ClaimAnswer> refusal(
            String scope, long fingerprint, String ownClaimId, BiPredicate<String, String> isLive) {
        List<Claim> others = claimsByScope.getOrDefault(scope, List.of()).stream()
                .filter(claim -> !claim.claimed.claimId().equals(ownClaimId))
                .sorted(Comparator.comparingLong(claim -> claim.firstOffset))
                .toList();
        if (others.isEmpty()) {
            return Optional.empty();
        }
        List<Claim> samePayload = others.stream()
                .filter(claim -> claim.claimed.fingerprint() == fingerprint)
                .toList();
        if (samePayload.isEmpty()) {
            return Optional.of(new ClaimAnswer.Reused());
        }
        Claim holder = samePayload.stream()
                .filter(claim -> claim.settled.isPresent())
                .findFirst()
                .orElse(samePayload.get(0));
        if (holder.settled.isPresent()) {
            ClaimRecord.Settled settled = holder.settled.get();
            return Optional.of(
                    settled.outcome() == Outcome.RAN ? settled.storedAnswer() : new ClaimAnswer.OutcomeUnknown());
        }
        boolean alive = isLive.test(holder.claimed.node(), holder.claimed.incarnation());
        return Optional.of(alive ? new ClaimAnswer.InFlight() : new ClaimAnswer.OutcomeUnknown());
    }

    /** Removes claims, abandonments and settlements whose time to live has passed. */
    public void prune(long nowMillis) {
        List<Claim> expired = claimsById.values().stream()
                .filter(claim -> claim.expiresAtMillis <= nowMillis)
                .toList();
        expired.forEach(this::remove);
        abandonedExpiryMillis.values().removeIf(until -> until <= nowMillis);
        unmatchedSettlementExpiryMillis.entrySet().removeIf(expiry -> {
            if (expiry.getValue() > nowMillis) {
                return false;
            }
            bodyBytes -=
                    unmatchedSettlements.remove(expiry.getKey()).storedAnswer().body().length;
            return true;
        });
    }

    /** Returns the records of a checkpoint: every claim up to an offset, with its age and its settlement if it has one. */
    public List<ClaimRecord> checkpointRecords(long throughOffset, long nowMillis) {
        List<ClaimRecord> records = new ArrayList<>();
        for (Claim claim : claimsById.values()) {
            if (claim.firstOffset > throughOffset) {
                continue;
            }
            ClaimRecord.Claimed claimed = claim.claimed;
            long ageMillis = Math.max(0, claimTtlMillis - (claim.expiresAtMillis - nowMillis));
            records.add(new ClaimRecord.Claimed(
                    claimed.claimId(),
                    claimed.scope(),
                    claimed.fingerprint(),
                    claimed.node(),
                    claimed.incarnation(),
                    claim.firstOffset,
                    ageMillis));
            claim.settled.ifPresent(records::add);
        }
        return records;
    }

    /** Returns the number of claims, abandonments and settlements without a known claim in memory. */
    public int size() {
        return claimsById.size() + abandonedExpiryMillis.size() + unmatchedSettlements.size();
    }

    /** Returns the total size of stored answer bodies. */
    public long bodyBytes() {
        return bodyBytes;
    }

    private Claim firstHolder(String scope) {
        return claimsByScope.get(scope).stream()
                .min(Comparator.comparingLong(claim -> claim.firstOffset))
                .orElseThrow();
    }

    private void remove(Claim claim) {
        claimsById.remove(claim.claimed.claimId());
        claim.settled.ifPresent(settled -> bodyBytes -= settled.storedAnswer().body().length);
        List<Claim> sameScope = claimsByScope.get(claim.claimed.scope());
        sameScope.remove(claim);
        if (sameScope.isEmpty()) {
            claimsByScope.remove(claim.claimed.scope());
        }
    }
}
