package org.agatehatch.internal.connection;

import java.util.List;

/**
 * A change or a full snapshot of an engine's prefix cache, as published by the engine.
 *
 * @param runnerEpoch identifies the engine process
 * @param sequence sequence number of the last change; increases by 1 with each change within one epoch
 * @param snapshot whether {@code added} lists the complete cache content instead of one change
 * @param added hashes of blocks that are now cached
 * @param removed hashes of blocks that are no longer cached
 */
public record CacheEvents(String runnerEpoch, long sequence, boolean snapshot, List<Long> added, List<Long> removed) {
    public CacheEvents {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
    }

    /** Returns an incremental change. */
    public static CacheEvents change(String runnerEpoch, long sequence, List<Long> added, List<Long> removed) {
        return new CacheEvents(runnerEpoch, sequence, false, added, removed);
    }

    /** Returns a snapshot of the complete cache content. */
    public static CacheEvents snapshot(String runnerEpoch, long sequence, List<Long> blocks) {
        return new CacheEvents(runnerEpoch, sequence, true, blocks, List.of());
    }
}
