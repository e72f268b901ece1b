package org.agatehatch.api.routing;

import net.openhft.hashing.LongHashFunction;

/**
 * Chained hashes of a prompt's blocks. The hash of block {@code i} is the 64-bit XXH3 hash of its 256 bytes, seeded with
 * the hash of block {@code i - 1}, or with 0 for the first. Equal hashes at one position therefore mean equal prompts up
 * to the end of that block. Engines identify blocks by the same hashes in their cache events.
 */
public final class PromptBlocks {
    /** Bytes of one block, which are about 64 tokens. */
    public static final int BLOCK_BYTES = 256;
    /** Maximum number of hashed blocks (128 KiB of prompt), which limits the cost of a routing decision. */
    public static final int MAX_BLOCKS = 512;
    /** Length of a shared prefix. From 4 KiB on, routing requests with the same prefix to one runner saves work. */
    public static final int SHARED_PREFIX_BLOCKS = 16;

    private PromptBlocks() {}

    /** Returns the hashes of the whole blocks of a prompt; a last, partial block has none. */
    public static long[] hashes(byte[] prompt) {
        int blocks = Math.min(MAX_BLOCKS, prompt.length / BLOCK_BYTES);
        long[] hashes = new long[blocks];
        long previous = 0;
        for (int i = 0; i < blocks; i++) {
            previous = LongHashFunction.xx3(previous).hashBytes(prompt, i * BLOCK_BYTES, BLOCK_BYTES);
            hashes[i] = previous;
        }
        return hashes;
    }

    /** Returns the hash of the first {@link #SHARED_PREFIX_BLOCKS} blocks; 0 if the prompt is shorter. */
    public static long prefixHash(long[] hashes) {
        return hashes.length < SHARED_PREFIX_BLOCKS ? 0 : hashes[SHARED_PREFIX_BLOCKS - 1];
    }
}
