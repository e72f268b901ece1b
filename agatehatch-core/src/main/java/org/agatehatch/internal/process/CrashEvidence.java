package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/**
 * What a node knows of crashes and of the prompt parts that may have caused them, as nodes send it to each other. The only
 * times in it are ages of crashes, of which the highest holds. An age grows too little on its way to another node, so that a
 * proof passed on as an age would move past later crashes.
 */
public record CrashEvidence(List<Crash> crashes) {
    /** Type of a message that is answered by all evidence of the other node. */
    public static final String FULL_EXCHANGE_TYPE = "crash_evidence_all";
    /** Type of a message that is answered by the recent evidence of the other node. */
    public static final String RECENT_EXCHANGE_TYPE = "crash_evidence_new";

    public CrashEvidence {
        crashes = List.copyOf(crashes);
    }

    /**
     * A crash of a server process.
     *
     * @param process the server's id and start time
     * @param address address of the server, which a restart does not change
     * @param clearedParts parts with which an answer began after the crash on a server that survived it
     * @param followedBySoundAnswer whether any answer did so
     * @param prompts the shared parts, in order, of each request whose answer had not begun or had just begun
     */
    public record Crash(
            String process,
            String address,
            long ageMillis,
            Set<List<String>> prompts,
            Set<String> clearedParts,
            boolean followedBySoundAnswer) {
        public Crash {
            prompts = Set.copyOf(prompts);
            clearedParts = Set.copyOf(clearedParts);
        }
    }

    /** Returns as many of the newest crashes as fit into a number of bytes when they are encoded, but at least one. */
    public CrashEvidence limitedTo(int maxBytes) {
        CrashEvidence limited = new CrashEvidence(crashes.stream()
                .sorted(Comparator.comparingLong(Crash::ageMillis))
                .toList());
        while (limited.crashes.size() > 1 && limited.encode().length > maxBytes) {
            limited = new CrashEvidence(limited.crashes.subList(0, limited.crashes.size() / 2));
        }
        return limited;
    }

    /** Returns the same evidence when a time has passed. */
    public CrashEvidence olderBy(long millis) {
        return new CrashEvidence(crashes.stream()
                .map(crash -> new Crash(
                        crash.process(),
                        crash.address(),
                        crash.ageMillis() + millis,
                        crash.prompts(),
                        crash.clearedParts(),
                        crash.followedBySoundAnswer()))
                .toList());
    }

    /** Encodes the evidence as a message of the given type. */
    public PeerMessage encode(String messageType) {
        return new PeerMessage(messageType, encode());
    }

    /** Encodes the evidence. */
    public byte[] encode() {
        List<Object> entries = new ArrayList<>();
        for (Crash crash : crashes) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("p", crash.process());
            fields.put("h", crash.address());
            fields.put("a", crash.ageMillis());
            fields.put(
                    "r",
                    crash.prompts().stream().map(parts -> Map.of("i", parts)).toList());
            fields.put("k", List.copyOf(crash.clearedParts()));
            fields.put("o", crash.followedBySoundAnswer());
            entries.add(fields);
        }
        return MessagePackValues.encode(Map.of("c", entries));
    }

    /** Decodes a message. */
    public static CrashEvidence decode(PeerMessage message) {
        return decode(message.body());
    }

    /** Decodes evidence. */
    public static CrashEvidence decode(byte[] encoded) {
        try {
            Fields fields = new Fields(MessagePackValues.decode(encoded));
            List<Crash> crashes = fields.maps("c").stream()
                    .map(entry -> new Crash(
                            entry.text("p"),
                            entry.text("h"),
                            entry.integer("a"),
                            prompts(entry.maps("r")),
                            Set.copyOf(entry.list("k", String.class)),
                            entry.flag("o")))
                    .toList();
            return new CrashEvidence(crashes);
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("a peer sent malformed evidence of crashes", e);
        }
    }

    private static Set<List<String>> prompts(List<Fields> entries) {
        return entries.stream().map(entry -> entry.list("i", String.class)).collect(Collectors.toSet());
    }
}
