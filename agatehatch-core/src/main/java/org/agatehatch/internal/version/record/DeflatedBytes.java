package org.agatehatch.internal.version.record;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compression of values that nodes send each other. */
public final class DeflatedBytes {
    private static final int BUFFER_BYTES = 8 * 1024;

    private DeflatedBytes() {}

    /** Compresses bytes, for speed rather than size. */
    public static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            // Frees memory outside the heap without waiting for the garbage collector.
            deflater.end();
        }
    }

    /**
     * Decompresses bytes.
     *
     * @param length exact length of the result
     * @param maxLength largest length that is accepted
     * @throws IllegalArgumentException if the bytes are malformed or have another length
     */
    public static byte[] inflate(byte[] deflated, long length, int maxLength) {
        if (length < 0 || length > maxLength) {
            throw new IllegalArgumentException("a value of " + length + " bytes exceeds the limit of " + maxLength);
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            byte[] bytes = new byte[(int) length];
            int filled = 0;
            while (filled < bytes.length) {
                int added = inflater.inflate(bytes, filled, bytes.length - filled);
                if (added == 0) {
                    throw new IllegalArgumentException("a compressed value ends after " + filled + " bytes");
                }
                filled += added;
            }
            if (inflater.inflate(new byte[1]) > 0) {
                throw new IllegalArgumentException("a compressed value is longer than " + length + " bytes");
            }
            if (!inflater.finished()) {
                throw new IllegalArgumentException("a compressed value ends before its checksum");
            }
            return bytes;
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("a compressed value is malformed", e);
        } finally {
            inflater.end();
        }
    }
}
