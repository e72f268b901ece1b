package org.agatehatch.cli.load;

import java.nio.charset.StandardCharsets;

/** The text that the engine stand-in gives for a model and a prompt; see docs/platform-protocols.md, section 5.1. */
final class AnswerText {
    /** Characters of every token: a space and 4 hexadecimal digits. */
    static final int TOKEN_CHARACTERS = 5;

    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final String HEX = "0123456789abcdef";

    private AnswerText() {}

    /** Returns the answer to a chat request with one message of the role {@code user}. */
    static String ofChat(String model, String content, int tokens) {
        long seed = seed(model + "\nuser\n" + content + "\n");
        StringBuilder text = new StringBuilder(tokens * TOKEN_CHARACTERS);
        for (int index = 0; index < tokens; index++) {
            long value = mix(seed + (index + 1) * GOLDEN_GAMMA);
            text.append(' ');
            for (int shift = 12; shift >= 0; shift -= 4) {
                text.append(HEX.charAt((int) (value >>> shift) & 15));
            }
        }
        return text.toString();
    }

    // 64-bit FNV-1a.
    private static long seed(String text) {
        long hash = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
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
