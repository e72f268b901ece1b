package org.agatehatch.internal.process.digest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes lists of digest entries. Entries of unknown kinds are skipped. */
public final class DigestCodec {
    /** Upper bound of the bytes around a payload: kind, key, version and length. The header of a list is shorter. */
    static final int MAX_HEADER_BYTES = 24;

    private static final int ELEMENTS_PER_ENTRY = 4;
    private static final int MAX_ENTRIES = 20_000;
    /** Largest payload of an entry that {@link #decode} accepts. */
    static final int MAX_PAYLOAD_BYTES = 64 * 1024;

    private DigestCodec() {}

    /** Encodes entries. */
    public static byte[] encode(List<DigestEntry> entries) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(entries.size() * ELEMENTS_PER_ENTRY);
            for (DigestEntry entry : entries) {
                packer.packInt(entry.kind().ordinal());
                packer.packLong(entry.key());
                packer.packLong(entry.version());
                packer.packBinaryHeader(entry.payload().length);
                packer.writePayload(entry.payload());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("I/O error while encoding a digest in memory", e);
        }
    }

    /** Decodes entries. Fails with {@code BAD_FRAME} if the bytes are not a list of entries. */
    public static List<DigestEntry> decode(byte[] bytes, String peer) {
        List<DigestEntry> entries = new ArrayList<>();
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int elements = unpacker.unpackArrayHeader();
            if (elements % ELEMENTS_PER_ENTRY != 0 || elements / ELEMENTS_PER_ENTRY > MAX_ENTRIES) {
                throw badFrame(peer, "a digest of " + elements + " elements is malformed or too long");
            }
            for (int i = 0; i < elements / ELEMENTS_PER_ENTRY; i++) {
                int kind = unpacker.unpackInt();
                long key = unpacker.unpackLong();
                long version = unpacker.unpackLong();
                int length = unpacker.unpackBinaryHeader();
                if (length < 0 || length > MAX_PAYLOAD_BYTES || length > bytes.length) {
                    throw badFrame(peer, "a digest entry of " + length + " bytes is too long");
                }
                byte[] payload = unpacker.readPayload(length);
                if (kind >= 0 && kind < DigestKind.values().length) {
                    entries.add(new DigestEntry(DigestKind.values()[kind], key, version, payload));
                }
            }
            return entries;
        } catch (IOException | MessagePackException e) {
            throw badFrame(peer, "malformed digest: " + e.getMessage());
        }
    }

    private static AgatehatchException badFrame(String peer, String message) {
        return new AgatehatchException(ErrorCode.BAD_FRAME, "read digest", peer, Outcome.NOT_RUN, message);
    }
}
