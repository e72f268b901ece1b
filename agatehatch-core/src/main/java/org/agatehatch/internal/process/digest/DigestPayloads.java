package org.agatehatch.internal.process.digest;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.process.CrashReport;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the payloads of digest entries as MessagePack arrays. Decoders ignore additional elements. */
public final class DigestPayloads {
    private static final int CACHE_STEPS = 16;
    /** 16 bits are enough to distinguish successive engine processes of a runner. */
    private static final int EPOCH_MASK = 0xffff;

    private DigestPayloads() {}

    /** Encodes a node's identity. */
    public static byte[] encode(NodeInfo node) {
        return pack(packer -> {
            packer.packArrayHeader(6);
            packer.packString(node.name());
            packer.packString(node.incarnation());
            packer.packString(node.callerAddress());
            packer.packString(node.peerAddress());
            packer.packString(node.failureDomain());
            packer.packString(node.region());
        });
    }

    /** Decodes a node's identity. */
    public static NodeInfo decodeNode(byte[] payload) {
        return unpack(payload, unpacker -> {
            unpacker.unpackArrayHeader();
            return new NodeInfo(
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackString());
        });
    }

    /** Encodes a heartbeat. */
    public static byte[] encode(Heartbeat heartbeat) {
        return pack(packer -> {
            packer.packArrayHeader(3);
            packer.packInt(heartbeat.state().ordinal());
            packer.packLong(heartbeat.catalogueVersion());
            packer.packLong(heartbeat.controlOffset());
        });
    }

    /** Decodes a heartbeat. */
    public static Heartbeat decodeHeartbeat(byte[] payload) {
        return unpack(payload, unpacker -> {
            unpacker.unpackArrayHeader();
            int state = unpacker.unpackInt();
            if (state < 0 || state >= NodeState.values().length) {
                throw badFrame("node state " + state + " is not known");
            }
            return new Heartbeat(NodeState.values()[state], unpacker.unpackLong(), unpacker.unpackLong());
        });
    }

    /** Encodes a runner's load; figures are quantised to levels of one or two bytes. */
    public static byte[] encode(RunnerLoad load) {
        return pack(packer -> {
            packer.packArrayHeader(9);
            packer.packInt(load.epochHash() & EPOCH_MASK);
            packer.packLong(load.sequence());
            packer.packInt(RunnerLoad.toLevel(load.queuedTokens()));
            packer.packInt(RunnerLoad.toLevel(load.runningRequests()));
            packer.packLong(load.arrivals());
            packer.packInt((int) Math.round(load.cacheUsedFraction() * CACHE_STEPS));
            packer.packInt(RunnerLoad.toLevel(load.prefillTokensPerSecond()));
            packer.packInt(RunnerLoad.toLevel(load.decodeTokensPerSecond()));
            packer.packInt(load.adapterLoads());
        });
    }

    /** Decodes a runner's load. */
    public static RunnerLoad decodeRunnerLoad(byte[] payload) {
        return unpack(payload, unpacker -> {
            unpacker.unpackArrayHeader();
            return new RunnerLoad(
                    unpacker.unpackInt(),
                    unpacker.unpackLong(),
                    Math.round(RunnerLoad.fromLevel(unpacker.unpackInt())),
                    (int) Math.round(RunnerLoad.fromLevel(unpacker.unpackInt())),
                    unpacker.unpackLong(),
                    unpacker.unpackInt() / (double) CACHE_STEPS,
                    RunnerLoad.fromLevel(unpacker.unpackInt()),
                    RunnerLoad.fromLevel(unpacker.unpackInt()),
                    unpacker.unpackInt());
        });
    }

    /** Encodes the adapters of a runner. */
    public static byte[] encode(RunnerAdapters adapters) {
        return pack(packer -> {
            packer.packArrayHeader(adapters.names().size());
            for (String name : new TreeSet<>(adapters.names())) {
                packer.packString(name);
            }
        });
    }

    /** Decodes the adapters of a runner. */
    public static RunnerAdapters decodeAdapters(byte[] payload) {
        return unpack(payload, unpacker -> {
            int count = unpacker.unpackArrayHeader();
            Set<String> names = new HashSet<>();
            for (int i = 0; i < count; i++) {
                names.add(unpacker.unpackString());
            }
            return new RunnerAdapters(names);
        });
    }

    /** Encodes a strike. */
    public static byte[] encode(CrashReport report) {
        return pack(packer -> {
            packer.packArrayHeader(3);
            packer.packLong(report.fingerprint());
            packer.packString(report.backendServer());
            packer.packString(report.runnerEpoch());
        });
    }

    /** Decodes a strike. */
    public static CrashReport decodeStrike(byte[] payload) {
        return unpack(payload, unpacker -> {
            unpacker.unpackArrayHeader();
            return new CrashReport(unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackString());
        });
    }

    /** Encodes rates by name, for example of owners or pools. */
    public static byte[] encode(Map<String, Double> rates) {
        return pack(packer -> {
            packer.packArrayHeader(2 * rates.size());
            for (Map.Entry<String, Double> rate : rates.entrySet()) {
                packer.packString(rate.getKey());
                packer.packFloat(rate.getValue().floatValue());
            }
        });
    }

    /** Decodes rates by name. */
    public static Map<String, Double> decodeRates(byte[] payload) {
        return unpack(payload, unpacker -> {
            int elements = unpacker.unpackArrayHeader();
            Map<String, Double> rates = new HashMap<>();
            for (int i = 0; i < elements / 2; i++) {
                rates.put(unpacker.unpackString(), (double) unpacker.unpackFloat());
            }
            return rates;
        });
    }

    /** Encodes one number, for example the tokens a second of an owner. */
    public static byte[] encode(double number) {
        return pack(packer -> packer.packFloat((float) number));
    }

    /** Decodes one number. */
    public static double decodeNumber(byte[] payload) {
        return unpack(payload, MessageUnpacker::unpackFloat);
    }

    /** Encodes one text, for example the name of a leaving backend server. */
    public static byte[] encode(String text) {
        return pack(packer -> packer.packString(text));
    }

    /** Decodes one text. */
    public static String decodeText(byte[] payload) {
        return unpack(payload, MessageUnpacker::unpackString);
    }

    private static byte[] pack(PackStep step) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            step.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("I/O error while encoding a digest payload in memory", e);
        }
    }

    private static <T> T unpack(byte[] payload, UnpackStep<T> step) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            return step.read(unpacker);
        } catch (IOException | MessagePackException e) {
            throw badFrame(String.valueOf(e.getMessage()));
        }
    }

    private static AgatehatchException badFrame(String message) {
        return new AgatehatchException(ErrorCode.BAD_FRAME, "read digest entry", "peer", Outcome.NOT_RUN, message);
    }

    @FunctionalInterface
    private interface PackStep {
        void write(MessageBufferPacker packer) throws IOException;
    }

    @FunctionalInterface
    private interface UnpackStep<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }
}
