package org.agatehatch.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import net.openhft.hashing.LongHashFunction;

/** Chained hashes of the 256-byte blocks of a prompt, by which prefixes are cached. */
public final class PromptBlocks {
    /** Bytes of a block. */
    public static final int BLOCK_BYTES = 256;
    /** Bytes of UTF-8 that count as one prompt token. */
    public static final int BYTES_PER_TOKEN = 4;
    /** Prompt tokens of a block. */
    public static final int TOKENS_PER_BLOCK = BLOCK_BYTES / BYTES_PER_TOKEN;

    private PromptBlocks() {}

    /** Returns the hashes of all complete blocks, first block first. */
    public static long[] hashes(String model, byte[] promptUtf8) {
        long[] hashes = new long[promptUtf8.length / BLOCK_BYTES];
        long previous = LongHashFunction.xx().hashBytes(model.getBytes(StandardCharsets.UTF_8));
        for (int block = 0; block < hashes.length; block++) {
            previous = LongHashFunction.xx(previous).hashBytes(promptUtf8, block * BLOCK_BYTES, BLOCK_BYTES);
            hashes[block] = previous;
        }
        return hashes;
    }

    /** Returns a hash as 16 lower-case hexadecimal digits. */
    public static String hex(long hash) {
        return HexFormat.of().toHexDigits(hash);
    }

    /** Reads a hash of 16 hexadecimal digits. */
    public static long parse(String hex) {
        if (hex.length() != 16) {
            throw new IllegalArgumentException("block hash '" + hex + "' must have 16 hexadecimal digits");
        }
        return HexFormat.fromHexDigitsToLong(hex);
    }

    /** Returns the number of tokens of a prompt. */
    public static int tokens(int promptBytes) {
        return (promptBytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }
}
