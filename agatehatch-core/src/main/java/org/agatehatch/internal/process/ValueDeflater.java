package org.agatehatch.internal.process;

import org.agatehatch.internal.version.record.DeflatedBytes;

/** Compresses a value once for all nodes that ask for it. Remembers the last large value. Runs on the control thread. */
public final class ValueDeflater {
    /** Smaller values are sent as they are. */
    private static final int MIN_BYTES = 16 * 1024;

    private byte[] lastValue = {};
    private byte[] lastDeflated = {};

    /** Returns whether a value is worth compressing. */
    static boolean applies(byte[] value) {
        return value.length >= MIN_BYTES;
    }

    /** Returns the compressed value. The array must not be changed afterwards. */
    byte[] deflate(byte[] value) {
        if (value != lastValue) {
            lastDeflated = DeflatedBytes.deflate(value);
            lastValue = value;
        }
        return lastDeflated;
    }
}
