package org.agatehatch.internal.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes MessagePack batches of {@link TypedRecord}. */
final class BatchCodec {
    private static final int RECORD_FIELDS = 3;

    /** Deeper nesting than any record has; bounds the recursion on malformed input. */
    private static final int MAX_DEPTH = 8;

    private BatchCodec() {}

    static byte[] encode(List<TypedRecord> records) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(records.size());
            for (TypedRecord record : records) {
                packer.packArrayHeader(RECORD_FIELDS);
                packer.packString(record.type());
                packer.packInt(record.version());
                pack(packer, record.body());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("I/O error while encoding a batch in memory", e);
        }
    }

    private static void pack(MessageBufferPacker packer, Object value) throws IOException {
        if (value instanceof Long number) {
            packer.packLong(number);
        } else if (value instanceof Integer number) {
            packer.packLong(number);
        } else if (value instanceof Boolean flag) {
            packer.packBoolean(flag);
        } else if (value instanceof String text) {
            packer.packString(text);
        } else if (value instanceof byte[] bytes) {
            packer.packBinaryHeader(bytes.length);
            packer.writePayload(bytes);
        } else if (value instanceof List<?> list) {
            packer.packArrayHeader(list.size());
            for (Object element : list) {
                pack(packer, element);
            }
        } else if (value instanceof Map<?, ?> map) {
            packer.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                packer.packString((String) entry.getKey());
                pack(packer, entry.getValue());
            }
        } else {
            throw new IllegalArgumentException("values of this type have no MessagePack encoding: " + value);
        }
    }

    /** Decodes a batch. Fails with {@code BAD_FRAME} on malformed input. */
    static List<TypedRecord> decode(byte[] payload) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            int count = unpacker.unpackArrayHeader();
            List<TypedRecord> records = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                records.add(unpackRecord(unpacker, payload.length));
            }
            if (unpacker.hasNext()) {
                throw TypedRecord.badFrame("the payload has trailing bytes after the batch", null);
            }
            return records;
        } catch (IOException | MessagePackException e) {
            throw TypedRecord.badFrame("the payload is not a MessagePack batch", e);
        }
    }

    private static TypedRecord unpackRecord(MessageUnpacker unpacker, int payloadBytes) throws IOException {
        int fields = unpacker.unpackArrayHeader();
        if (fields < RECORD_FIELDS) {
            throw TypedRecord.badFrame("a record has " + fields + " fields, expected at least " + RECORD_FIELDS, null);
        }
        Object type = unpack(unpacker, payloadBytes, 0);
        Object version = unpack(unpacker, payloadBytes, 0);
        Object body = unpack(unpacker, payloadBytes, 0);
        for (int i = RECORD_FIELDS; i < fields; i++) {
            unpack(unpacker, payloadBytes, 0);
        }
        if (!(type instanceof String name) || !(version instanceof Long number) || !(body instanceof Map<?, ?> map)) {
            throw TypedRecord.badFrame("a record is not [type, version, body map]", null);
        }
        Map<String, Object> named = new LinkedHashMap<>();
        map.forEach((key, value) -> named.put((String) key, value));
        return new TypedRecord(name, number.intValue(), named);
    }

    private static Object unpack(MessageUnpacker unpacker, int payloadBytes, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw TypedRecord.badFrame("values are nested too deeply", null);
        }
        switch (unpacker.getNextFormat().getValueType()) {
            case INTEGER -> {
                return unpacker.unpackLong();
            }
            case BOOLEAN -> {
                return unpacker.unpackBoolean();
            }
            case STRING -> {
                return new String(
                        readBytes(unpacker, unpacker.unpackRawStringHeader(), payloadBytes), StandardCharsets.UTF_8);
            }
            case BINARY -> {
                return readBytes(unpacker, unpacker.unpackBinaryHeader(), payloadBytes);
            }
            case ARRAY -> {
                int size = unpacker.unpackArrayHeader();
                List<Object> list = new ArrayList<>();
                for (int i = 0; i < size; i++) {
                    list.add(unpack(unpacker, payloadBytes, depth + 1));
                }
                return list;
            }
            case MAP -> {
                int size = unpacker.unpackMapHeader();
                Map<String, Object> map = new LinkedHashMap<>();
                for (int i = 0; i < size; i++) {
                    if (!(unpack(unpacker, payloadBytes, depth + 1) instanceof String key)) {
                        throw TypedRecord.badFrame("a map key is not a string", null);
                    }
                    map.put(key, unpack(unpacker, payloadBytes, depth + 1));
                }
                return map;
            }
            default -> {
                // Newer versions may use nil, floats and extensions in fields that this version does not know.
                unpacker.skipValue();
                return "";
            }
        }
    }

    /** Checks the declared length first, because the unpacker allocates the array before it reads. */
    private static byte[] readBytes(MessageUnpacker unpacker, int length, int payloadBytes) throws IOException {
        if (length < 0 || length > payloadBytes) {
            throw TypedRecord.badFrame("a value declares " + length + " bytes in a payload of " + payloadBytes, null);
        }
        return unpacker.readPayload(length);
    }
}
