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
    /** Type of a {@link ResidencyRequest}. */
    public static final String RESIDENCY_REQUEST = "want_resident";
    /** Type of a {@link ResidencyReply}. */
    public static final String RESIDENCY_REPLY = "held_by";
    /** Type of a {@link NodeReport}. */
    public static final String NODE_REPORT = "node_report";
    /** Type of a {@link HolderSuspicion}. */
    public static final String HOLDER_SUSPICION = "holder_silent";
    /** Type of the answer to a report. */
    public static final String REPORT_REPLY = "others_loads";

    private ResidencyMessages() {}

    /** A node whose reports another one has not answered for some time. */
    public record HolderSuspicion(String node, String holder) {}

    /** Encodes word of a silent node. */
    public static PeerMessage encode(HolderSuspicion suspicion) {
        return message(HOLDER_SUSPICION, Map.of("n", suspicion.node(), "h", suspicion.holder()));
    }

    /** Decodes word of a silent node. */
    public static HolderSuspicion decodeHolderSuspicion(PeerMessage message) {
        Fields fields = fields(message);
        return new HolderSuspicion(fields.text("n"), fields.text("h"));
    }

    /** A model, or an adapter of it, that no candidate holds. */
    public record ResidencyRequest(String service, String model, String adapter) {}

    /**
     * The answer to a want.
     *
     * @param runner the runner that holds what was wanted; empty if none does
     * @param readyInMillis time after which a runner should hold it; negative if none is about to
     */
    public record ResidencyReply(String runner, long readyInMillis) {
        /** Nothing holds it or is about to. */
        public static final ResidencyReply UNAVAILABLE = new ResidencyReply("", -1);
    }

    /** Work that a node's requests have asked of a model and adapter since its last message. */
    public record Demand(String service, String model, String adapter, double workMillis) {}

    /**
     * Work a second that a node's requests have asked of a model.
     *
     * @param fastPerSecond average of the last second or two
     * @param slowPerSecond average of some seconds
     */
    public record DemandAverages(String service, String model, double fastPerSecond, double slowPerSecond) {}

    /**
     * What a node tells of its requests: the demand since its last report, and what it has in flight.
     *
     * @param history the demand before that, for a node that has just been found to give orders
     */
    public record NodeReport(
            String node,
            List<Demand> demand,
            Map<String, LoadAggregator.Load> loads,
            List<CrashLedger.Strike> strikes,
            List<DemandAverages> history) {
        public NodeReport {
            history = List.copyOf(history);
            demand = List.copyOf(demand);
            loads = Map.copyOf(loads);
            strikes = List.copyOf(strikes);
        }
    }

    /** A model, or an adapter of it, that a runner has got or is about to lose. */
    public record ResidencyChange(String runner, String model, String adapter, boolean present) {}

    /** What the other nodes have in flight, the strikes that any node has seen, and what has changed at the runners. */
    public record ReportReply(Map<String, LoadAggregator.Load> loads, List<CrashLedger.Strike> strikes, List<ResidencyChange> changes) {
        public ReportReply {
            loads = Map.copyOf(loads);
            strikes = List.copyOf(strikes);
            changes = List.copyOf(changes);
        }
    }

    /** Encodes a want. */
    public static PeerMessage encode(ResidencyRequest request) {
        return message(RESIDENCY_REQUEST, Map.of("service", request.service(), "model", request.model(), "adapter", request.adapter()));
    }

    /** Decodes a want. */
    public static ResidencyRequest decodeResidencyRequest(PeerMessage message) {
        Fields fields = fields(message);
        return new ResidencyRequest(fields.text("service"), fields.text("model"), fields.text("adapter"));
    }

    /** Encodes the answer to a want. */
    public static PeerMessage encode(ResidencyReply reply) {
        return message(RESIDENCY_REPLY, Map.of("runner", reply.runner(), "ready_in_ms", reply.readyInMillis()));
    }

    /** Decodes the answer to a want. */
    public static ResidencyReply decodeResidencyReply(PeerMessage message) {
        Fields fields = fields(message);
        return new ResidencyReply(fields.text("runner"), fields.integer("ready_in_ms"));
    }

    /** Encodes a report. */
    public static PeerMessage encode(NodeReport report) {
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
        body.put("p", averagesFields(report.history()));
        return message(NODE_REPORT, body);
    }

    /** Decodes a report. */
    public static NodeReport decodeNodeReport(PeerMessage message) {
        Fields fields = fields(message);
        List<Demand> demand = fields.maps("d").stream()
                .map(entry -> new Demand(entry.text("s"), entry.text("m"), entry.text("a"), entry.integer("w")))
                .toList();
        List<DemandAverages> history = fields.maps("p").stream()
                .map(entry -> new DemandAverages(entry.text("s"), entry.text("m"), entry.integer("f"), entry.integer("o")))
                .toList();
        return new NodeReport(fields.text("n"), demand, loads(fields.map("l")), strikes(fields), history);
    }

    /** Encodes the answer to a report. */
    public static PeerMessage encode(ReportReply reply) {
        List<Object> changes = new ArrayList<>();
        for (ResidencyChange change : reply.changes()) {
            changes.add(
                    Map.of("r", change.runner(), "m", change.model(), "a", change.adapter(), "p", change.present()));
        }
        return message(
                REPORT_REPLY, Map.of("l", loadFields(reply.loads()), "c", strikeFields(reply.strikes()), "h", changes));
    }

    /** Decodes the answer to a report. */
    public static ReportReply decodeReportReply(PeerMessage message) {
        Fields fields = fields(message);
        List<ResidencyChange> changes = fields.maps("h").stream()
                .map(entry -> new ResidencyChange(entry.text("r"), entry.text("m"), entry.text("a"), entry.flag("p")))
                .toList();
        return new ReportReply(loads(fields.map("l")), strikes(fields), changes);
    }

    private static List<Object> averagesFields(List<DemandAverages> rates) {
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

    private static List<Object> strikeFields(List<CrashLedger.Strike> strikes) {
        List<Object> entries = new ArrayList<>();
        strikes.forEach(strike -> entries.add(Map.of("f", strike.fingerprint(), "p", strike.process())));
        return entries;
    }

    private static List<CrashLedger.Strike> strikes(Fields fields) {
        return fields.maps("c").stream()
                .map(entry -> new CrashLedger.Strike(entry.integer("f"), entry.text("p")))
                .toList();
    }

    private static Map<String, Object> loadFields(Map<String, LoadAggregator.Load> loads) {
        Map<String, Object> fields = new LinkedHashMap<>();
        loads.forEach((server, load) -> fields.put(server, List.of((long) load.requests(), load.pendingPromptTokens())));
        return fields;
    }

    private static Map<String, LoadAggregator.Load> loads(Map<String, Object> fields) {
        Map<String, LoadAggregator.Load> loads = new LinkedHashMap<>();
        for (String server : fields.keySet()) {
            List<Long> values = new Fields(fields).list(server, Long.class);
            loads.put(server, new LoadAggregator.Load(Math.toIntExact(values.get(0)), values.get(1)));
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
