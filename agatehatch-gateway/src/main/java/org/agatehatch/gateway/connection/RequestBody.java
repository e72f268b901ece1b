package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** The body of a request while it is received: one buffer, which grows as bytes arrive and never beyond the declared length. */
final class RequestBody {
    private static final int MIN_CAPACITY = 1_024;

    private final long declaredBytes;
    private byte[] bytes = new byte[0];
    private int length;

    /**
     * Creates an empty body.
     *
     * @param declaredBytes length that the caller declared, negative if it is unknown
     */
    RequestBody(long declaredBytes) {
        this.declaredBytes = declaredBytes;
    }

    int length() {
        return length;
    }

    /** Returns how many bytes of the declared length are missing; 0 if none was declared. */
    long missingBytes() {
        return Math.max(0, declaredBytes - length);
    }

    int capacity() {
        return bytes.length;
    }

    /** Returns the capacity that the buffer has after the given number of bytes is added. */
    int capacityWith(int added) {
        int needed = length + added;
        if (needed <= bytes.length) {
            return bytes.length;
        }
        long grown = Math.max(Math.max(needed, MIN_CAPACITY), 2L * bytes.length);
        return (int)
                (declaredBytes >= needed ? Math.min(grown, declaredBytes) : Math.min(grown, Integer.MAX_VALUE - 8));
    }

    void add(ByteBuf added) {
        int count = added.readableBytes();
        int capacity = capacityWith(count);
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacity);
        }
        added.readBytes(bytes, length, count);
        length += count;
    }

    /** Returns the bytes, without a copy if the declared length has arrived. */
    byte[] toArray() {
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }
}
