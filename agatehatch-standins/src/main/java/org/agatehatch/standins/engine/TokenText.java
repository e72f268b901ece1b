package org.agatehatch.standins.engine;

import java.nio.charset.StandardCharsets;

/**
 * The text of an answer, which depends on model, prompt and token index alone. So the same request gives the same text
 * on every engine, and callers can check that an answer is theirs.
 */
public final class TokenText {
    /** Bytes of every token: a space and 4 hexadecimal digits. */
    public static final int TOKEN_BYTES = 5;

    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private TokenText() {}

    /** Returns the seed of an answer's text. */
    public static long seed(String model, String prompt) {
        long hash = fnv(FNV_OFFSET, model.getBytes(StandardCharsets.UTF_8));
        hash = fnv(hash, new byte[] {'\n'});
        return fnv(hash, prompt.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the tokens from one index up to, and without, another. */
    public static String tokens(long seed, int fromIndex, int toIndex) {
        byte[] bytes = new byte[Math.max(0, toIndex - fromIndex) * TOKEN_BYTES];
        for (int index = fromIndex; index < toIndex; index++) {
            put(seed, index, bytes, (index - fromIndex) * TOKEN_BYTES);
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    /** Writes one token into {@code target}. */
    static void put(long seed, int index, byte[] target, int position) {
        long value = mix(seed + (index + 1) * GOLDEN_GAMMA);
        target[position] = ' ';
        target[position + 1] = HEX[(int) (value >>> 12) & 15];
        target[position + 2] = HEX[(int) (value >>> 8) & 15];
        target[position + 3] = HEX[(int) (value >>> 4) & 15];
        target[position + 4] = HEX[(int) value & 15];
    }

    private static long fnv(long start, byte[] bytes) {
        long hash = start;
        for (byte b : bytes) {
            hash = (hash ^ (b & 0xFF)) * FNV_PRIME;
        }
        return hash;
    }

    // The finaliser of SplitMix64.
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
