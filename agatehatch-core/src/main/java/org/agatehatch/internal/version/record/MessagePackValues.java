package org.agatehatch.internal.version.record;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Converts between MessagePack and plain values: null, Boolean, Long, Double, String, byte array, List and Map with
 * string keys. Limits the nesting depth, and checks declared lengths against the remaining bytes.
 */
public final class MessagePackValues {
    /** Maximum nesting depth of lists and maps in both directions. */
    public static final int MAX_DEPTH = 16;

    private MessagePackValues() {}

    /** Returns the encoding of one value. Maps keep their iteration order. */
    public static byte[] encode(Object value) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(packer, value, 0);
            packer.flush();
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("encoding into memory failed", e);
        }
    }

    /**
     * Decodes a single value.
     *
     * @throws MalformedValueException if the bytes are not exactly one supported value
     */
    public static Object decode(byte[] bytes) throws MalformedValueException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            Object value = unpack(unpacker, bytes.length, 0);
            if (unpacker.hasNext()) {
                throw new MalformedValueException(
                        "unexpected bytes after the value, from position " + unpacker.getTotalReadBytes());
            }
            return value;
        } catch (IOException | MessagePackException | ArithmeticException e) {
            throw new MalformedValueException(
                    "malformed MessagePack: " + e.getClass().getSimpleName(), e);
        }
    }

    private static void pack(MessagePacker packer, Object value, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new IllegalArgumentException("value is nested deeper than " + MAX_DEPTH);
        }
        if (value == null) {
            packer.packNil();
        } else if (value instanceof String text) {
            packer.packString(text);
        } else if (value instanceof Boolean flag) {
            packer.packBoolean(flag);
        } else if (value instanceof Double || value instanceof Float) {
            packer.packDouble(((Number) value).doubleValue());
        } else if (value instanceof Long || value instanceof Integer || value instanceof Short) {
            packer.packLong(((Number) value).longValue());
        } else if (value instanceof byte[] bytes) {
            packer.packBinaryHeader(bytes.length);
            packer.writePayload(bytes);
        } else if (value instanceof Collection<?> items) {
            packer.packArrayHeader(items.size());
            for (Object item : items) {
                pack(packer, item, depth + 1);
            }
        } else if (value instanceof Map<?, ?> map) {
            packer.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                packer.packString((String) entry.getKey());
                pack(packer, entry.getValue(), depth + 1);
            }
        } else {
            throw new IllegalArgumentException(
                    "cannot encode " + value.getClass().getName());
        }
    }

    private static Object unpack(MessageUnpacker unpacker, int totalBytes, int depth)
            throws IOException, MalformedValueException {
        if (depth > MAX_DEPTH) {
            throw new MalformedValueException("value is nested deeper than " + MAX_DEPTH);
        }
        return switch (unpacker.getNextFormat().getValueType()) {
            case NIL -> {
                unpacker.unpackNil();
                yield null;
            }
            case BOOLEAN -> unpacker.unpackBoolean();
            case INTEGER -> unpacker.unpackLong();
            case FLOAT -> unpacker.unpackDouble();
            case STRING -> text(unpacker, totalBytes);
            case BINARY -> {
                int length = unpacker.unpackBinaryHeader();
                checkLength(unpacker, totalBytes, length);
                yield unpacker.readPayload(length);
            }
            case ARRAY -> list(unpacker, totalBytes, depth);
            case MAP -> map(unpacker, totalBytes, depth);
            case EXTENSION -> throw new MalformedValueException("extension types are not supported");
        };
    }

    private static String text(MessageUnpacker unpacker, int totalBytes) throws IOException, MalformedValueException {
        int length = unpacker.unpackRawStringHeader();
        checkLength(unpacker, totalBytes, length);
        return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
    }

    private static List<Object> list(MessageUnpacker unpacker, int totalBytes, int depth)
            throws IOException, MalformedValueException {
        int size = unpacker.unpackArrayHeader();
        checkLength(unpacker, totalBytes, size);
        List<Object> items = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            items.add(unpack(unpacker, totalBytes, depth + 1));
        }
        return items;
    }

    private static Map<String, Object> map(MessageUnpacker unpacker, int totalBytes, int depth)
            throws IOException, MalformedValueException {
        int size = unpacker.unpackMapHeader();
        checkLength(unpacker, totalBytes, size);
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            if (!unpacker.getNextFormat().getValueType().isStringType()) {
                throw new MalformedValueException("a map key is not a string");
            }
            String key = text(unpacker, totalBytes);
            map.put(key, unpack(unpacker, totalBytes, depth + 1));
        }
        return map;
    }

    // An element takes at least one byte, so a larger declared length is malformed. Checked before memory is allocated.
    private static void checkLength(MessageUnpacker unpacker, int totalBytes, int length)
            throws MalformedValueException {
        if (length < 0 || length > totalBytes - unpacker.getTotalReadBytes()) {
            throw new MalformedValueException("declared length " + length + " at position "
                    + unpacker.getTotalReadBytes() + " is beyond the end at " + totalBytes);
        }
    }

    /** Thrown if bytes are not the encoding of a supported value. */
    public static final class MalformedValueException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedValueException(String message) {
            super(message);
        }

        MalformedValueException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
