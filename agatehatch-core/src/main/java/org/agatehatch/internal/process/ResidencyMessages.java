package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** Messages between the nodes that serve requests and the one that gives orders to runners. */
public final class ResidencyMessages {
    /** Type of a {@link Want}. */
    public static final String WANT = "want_resident";
    /** Type of a {@link ReceivedEntry}. */
    public static final String HELD = "held_by";
    /** Type of a {@link Report}. */
    public static final String REPORT = "node_report";
    /** Type of a {@link Silent}. */
    public static final String SILENT = "holder_silent";
    /** Type of the answer to a report. */
    public static final String OTHERS = "others_loads";

    private ResidencyMessages() {}

    /** A node whose reports another one has not answered for some time. */
    public record Silent(String node, String holder) {}

    /** Encodes word of a silent node. */
    public static PeerMessage encode(Silent silent) {
        return message(SILENT, Map.of("n", silent.node(), "h", silent.holder()));
    }

    /** Decodes word of a silent node. */
    public static Silent decodeSilent(PeerMessage message) {
        Fields fields = fields(message);
        return new Silent(fields.text("n"), fields.text("h"));
    }

    /** A model, or an adapter of it, that no candidate holds. */
    public record Want(String service, String model, String adapter) {}

    /**
     * The answer to a want.
     *
     * @param runner the runner that holds what was wanted; empty if none does
     * @param readyInMillis time after which a runner should hold it; negative if none is about to
     */
    public record Held(String runner, long readyInMillis) {
        /** Nothing holds it or is about to. */
        public static final Held NOBODY = new Held("", -1);
    }

    /** Work that a node's requests have asked of a model and adapter since its last message. */
    public record Demand(String service, String model, String adapter, double workMillis) {}

    /**
     * Work a second that a node's requests have asked of a model.
     *
     * @param fastPerSecond average of the last second or two
     * @param slowPerSecond average of some seconds
     */
    public record Rate(String service, String model, double fastPerSecond, double slowPerSecond) {}

    /**
     * What a node tells of its requests: the demand since its last report, and what it has in flight.
     *
     * @param history the demand before that, for a node that has just been found to give orders
     */
    public record Report(
            String node,
            List<Demand> demand,
            Map<String, LoadBoard.Load> loads,
            List<PoisonRequestDetector.Strike> strikes,
            List<Rate> history) {
        public Report {
            history = List.copyOf(history);
            demand = List.copyOf(demand);
            loads = Map.copyOf(loads);
            strikes = List.copyOf(strikes);
        }
    }

    /** A model, or an adapter of it, that a runner has got or is about to lose. */
    public record Change(String runner, String model, String adapter, boolean present) {}

    /** What the other nodes have in flight, the strikes that any node has seen, and what has changed at the runners. */
    public record Others(
            Map<String, LoadBoard.Load> loads, List<PoisonRequestDetector.Strike> strikes, List<Change> changes) {
        public Others {
            loads = Map.copyOf(loads);
            strikes = List.copyOf(strikes);
            changes = List.copyOf(changes);
        }
    }

    /** Encodes a want. */
    public static PeerMessage encode(Want want) {
        return message(WANT, Map.of("service", want.service(), "model", want.model(), "adapter", want.adapter()));
    }

    /** Decodes a want. */
    public static Want decodeWant(PeerMessage message) {
        Fields fields = fields(message);
        return new Want(fields.text("service"), fields.text("model"), fields.text("adapter"));
    }

    /** Encodes the answer to a want. */
    public static PeerMessage encode(Held held) {
        return message(HELD, Map.of("runner", held.runner(), "ready_in_ms", held.readyInMillis()));
    }

    /** Decodes the answer to a want. */
    public static Held decodeHeld(PeerMessage message) {
        Fields fields = fields(message);
        return new Held(fields.text("runner"), fields.integer("ready_in_ms"));
    }

    /** Encodes a report. */
    public static PeerMessage encode(Report report) {
        List<Object> entries = new ArrayList<>();
        for (Demand entry : report.demand()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("s", entry.service());
            fields.put("m", entry.model());
            fields.put("a", entry.adapter());
            fields.put("w", Math.round(entry.workMillis()));
            entries.add(fields);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("n", report.node());
        body.put("d", entries);
        body.put("l", loadFields(report.loads()));
        body.put("c", strikeFields(report.strikes()));
        body.put("p", rateFields(report.history()));
        return message(REPORT, body);
    }

    /** Decodes a report. */
    public static Report decodeReport(PeerMessage message) {
        Fields fields = fields(message);
        List<Demand> demand = fields.maps("d").stream()
                .map(entry -> new Demand(entry.text("s"), entry.text("m"), entry.text("a"), entry.integer("w")))
                .toList();
        List<Rate> history = fields.maps("p").stream()
                .map(entry -> new Rate(entry.text("s"), entry.text("m"), entry.integer("f"), entry.integer("o")))
                .toList();
        return new Report(fields.text("n"), demand, loads(fields.map("l")), strikes(fields), history);
    }

    /** Encodes the answer to a report. */
    public static PeerMessage encode(Others others) {
        List<Object> changes = new ArrayList<>();
        for (Change change : others.changes()) {
            changes.add(
                    Map.of("r", change.runner(), "m", change.model(), "a", change.adapter(), "p", change.present()));
        }
        return message(
                OTHERS, Map.of("l", loadFields(others.loads()), "c", strikeFields(others.strikes()), "h", changes));
    }

    /** Decodes the answer to a report. */
    public static Others decodeOthers(PeerMessage message) {
        Fields fields = fields(message);
        List<Change> changes = fields.maps("h").stream()
                .map(entry -> new Change(entry.text("r"), entry.text("m"), entry.text("a"), entry.flag("p")))
                .toList();
        return new Others(loads(fields.map("l")), strikes(fields), changes);
    }

    private static List<Object> rateFields(List<Rate> rates) {
        List<Object> entries = new ArrayList<>();
        rates.forEach(rate -> entries.add(Map.of(
                "s",
                rate.service(),
                "m",
                rate.model(),
                "f",
                Math.round(rate.fastPerSecond()),
                "o",
                Math.round(rate.slowPerSecond()))));
        return entries;
    }

    private static List<Object> strikeFields(List<PoisonRequestDetector.Strike> strikes) {
        List<Object> entries = new ArrayList<>();
        strikes.forEach(strike -> entries.add(Map.of("f", strike.fingerprint(), "p", strike.process())));
        return entries;
    }

    private static List<PoisonRequestDetector.Strike> strikes(Fields fields) {
        return fields.maps("c").stream()
                .map(entry -> new PoisonRequestDetector.Strike(entry.integer("f"), entry.text("p")))
                .toList();
    }

    private static Map<String, Object> loadFields(Map<String, LoadBoard.Load> loads) {
        Map<String, Object> fields = new LinkedHashMap<>();
        loads.forEach((server, load) -> fields.put(server, List.of((long) load.requests(), load.unreadTokens())));
        return fields;
    }

    private static Map<String, LoadBoard.Load> loads(Map<String, Object> fields) {
        Map<String, LoadBoard.Load> loads = new LinkedHashMap<>();
        for (String server : fields.keySet()) {
            List<Long> values = new Fields(fields).list(server, Long.class);
            loads.put(server, new LoadBoard.Load(Math.toIntExact(values.get(0)), values.get(1)));
        }
        return loads;
    }

    private static PeerMessage message(String type, Map<String, Object> body) {
        return new PeerMessage(type, MessagePackValues.encode(body));
    }

    private static Fields fields(PeerMessage message) {
        try {
            return new Fields(MessagePackValues.decode(message.body()));
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("the body of a '" + message.type() + "' message is malformed", e);
        }
    }
}
