package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** Messages between the nodes that serve requests and the placement holder, which sends orders to runners. */
public final class ResidencyMessages {
    /** Message type of a {@link Request}. */
    public static final String RESIDENCY_REQUEST = "want_resident";
    /** Message type of a {@link Reply}. */
    public static final String RESIDENCY_REPLY = "held_by";
    /** Message type of a {@link NodeReport}. */
    public static final String NODE_REPORT = "node_report";
    /** Message type of a {@link HolderSuspicion}. */
    public static final String HOLDER_SUSPICION = "holder_silent";
    /** Message type of a {@link ReportReply}. */
    public static final String REPORT_REPLY = "others_loads";

    private ResidencyMessages() {}

    /**
     * A node's suspicion that the placement holder has failed, because it does not answer the node's reports.
     *
     * @param node the node that suspects the holder
     * @param holder the holder's member name
     */
    public record HolderSuspicion(String node, String holder) {}

    /** Encodes a suspicion. */
    public static PeerMessage encode(HolderSuspicion suspicion) {
        return message(HOLDER_SUSPICION, Map.of("n", suspicion.node(), "h", suspicion.holder()));
    }

    /** Decodes a suspicion. */
    public static HolderSuspicion decodeHolderSuspicion(PeerMessage message) {
        Fields fields = fields(message);
        return new HolderSuspicion(fields.text("n"), fields.text("h"));
    }

    /** Asks the placement holder to have a runner load a model, or an adapter of it, that no candidate holds. */
    public record Request(String service, String model, String adapter) {}

    /**
     * The reply to a residency request.
     *
     * @param runner the runner that holds the model or adapter; empty if none does
     * @param readyInMillis expected time until a runner holds it; negative if none is expected to
     */
    public record Reply(String runner, long readyInMillis) {
        /** No runner holds the model or adapter or is expected to. */
        public static final Reply UNAVAILABLE = new Reply("", -1);
    }

    /** Runner time that a node's requests have needed for a model and adapter since the node's last report. */
    public record Demand(String service, String model, String adapter, double workMillis) {}

    /**
     * Average demand of a node's requests for a model, in milliseconds of runner time per second.
     *
     * @param fastPerSecond average over the last second or two
     * @param slowPerSecond average over some seconds
     */
    public record DemandAverages(String service, String model, double fastPerSecond, double slowPerSecond) {}

    /**
     * A node's periodic report to the placement holder.
     *
     * @param demand demand since the node's last report
     * @param loads the node's requests in flight, by backend server
     * @param strikes crashes of servers that the node has seen, each with the fingerprint of a request that ran there
     * @param history earlier demand; empty once the holder has received it
     * @param learned what the node has learned of servers since its last report
     */
    public record NodeReport(
            String node,
            List<Demand> demand,
            Map<String, LoadAggregator.Load> loads,
            List<PoisonRequestDetector.Strike> strikes,
            List<DemandAverages> history,
            List<LearnedCapacity> learned) {
        public NodeReport {
            learned = List.copyOf(learned);
            history = List.copyOf(history);
            demand = List.copyOf(demand);
            loads = Map.copyOf(loads);
            strikes = List.copyOf(strikes);
        }

        /** Creates a report of a node that has learned nothing. */
        public NodeReport(
                String node,
                List<Demand> demand,
                Map<String, LoadAggregator.Load> loads,
                List<PoisonRequestDetector.Strike> strikes,
                List<DemandAverages> history) {
            this(node, demand, loads, strikes, history, List.of());
        }
    }

    /** A model, or an adapter of it, that a runner has loaded or is about to unload. */
    public record Change(String runner, String model, String adapter, boolean present) {}

    /**
     * The reply to a report: the other nodes' requests in flight, all nodes' strikes, the recent residency changes, and what the
     * other nodes have learned of servers since the last reply.
     *
     * @param holder member name of the placement holder that the replying node knows, which is another one if it is not the
     *     holder any more; empty if it knows none
     */
    public record ReportReply(
            Map<String, LoadAggregator.Load> loads,
            List<PoisonRequestDetector.Strike> strikes,
            List<Change> changes,
            List<LearnedCapacity> learned,
            String holder) {
        public ReportReply {
            learned = List.copyOf(learned);
            loads = Map.copyOf(loads);
            strikes = List.copyOf(strikes);
            changes = List.copyOf(changes);
        }

        /** Creates a reply without the holder. */
        public ReportReply(
                Map<String, LoadAggregator.Load> loads,
                List<PoisonRequestDetector.Strike> strikes,
                List<Change> changes,
                List<LearnedCapacity> learned) {
            this(loads, strikes, changes, learned, "");
        }

        /** Creates a reply without learned values and the holder. */
        public ReportReply(
                Map<String, LoadAggregator.Load> loads,
                List<PoisonRequestDetector.Strike> strikes,
                List<Change> changes) {
            this(loads, strikes, changes, List.of());
        }
    }

    /** Encodes a residency request. */
    public static PeerMessage encode(Request request) {
        return message(
                RESIDENCY_REQUEST,
                Map.of("service", request.service(), "model", request.model(), "adapter", request.adapter()));
    }

    /** Decodes a residency request. */
    public static Request decodeResidencyRequest(PeerMessage message) {
        Fields fields = fields(message);
        return new Request(fields.text("service"), fields.text("model"), fields.text("adapter"));
    }

    /** Encodes the reply to a residency request. */
    public static PeerMessage encode(Reply reply) {
        return message(RESIDENCY_REPLY, Map.of("runner", reply.runner(), "ready_in_ms", reply.readyInMillis()));
    }

    /** Decodes the reply to a residency request. */
    public static Reply decodeResidencyReply(PeerMessage message) {
        Fields fields = fields(message);
        return new Reply(fields.text("runner"), fields.integer("ready_in_ms"));
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
        body.put("k", LearnedCapacityCodec.fields(report.learned()));
        return message(NODE_REPORT, body);
    }

    /** Decodes a report. */
    public static NodeReport decodeNodeReport(PeerMessage message) {
        Fields fields = fields(message);
        List<Demand> demand = fields.maps("d").stream()
                .map(entry -> new Demand(entry.text("s"), entry.text("m"), entry.text("a"), entry.integer("w")))
                .toList();
        List<DemandAverages> history = fields.maps("p").stream()
                .map(entry ->
                        new DemandAverages(entry.text("s"), entry.text("m"), entry.integer("f"), entry.integer("o")))
                .toList();
        return new NodeReport(
                fields.text("n"),
                demand,
                loads(fields.map("l")),
                strikes(fields),
                history,
                LearnedCapacityCodec.decode(fields, "k"));
    }

    /** Encodes the reply to a report. */
    public static PeerMessage encode(ReportReply reply) {
        List<Object> changes = new ArrayList<>();
        for (Change change : reply.changes()) {
            changes.add(
                    Map.of("r", change.runner(), "m", change.model(), "a", change.adapter(), "p", change.present()));
        }
        return message(
                REPORT_REPLY,
                Map.of(
                        "l",
                        loadFields(reply.loads()),
                        "c",
                        strikeFields(reply.strikes()),
                        "h",
                        changes,
                        "k",
                        LearnedCapacityCodec.fields(reply.learned()),
                        "o",
                        reply.holder()));
    }

    /** Decodes the reply to a report. */
    public static ReportReply decodeReportReply(PeerMessage message) {
        Fields fields = fields(message);
        List<Change> changes = fields.maps("h").stream()
                .map(entry -> new Change(entry.text("r"), entry.text("m"), entry.text("a"), entry.flag("p")))
                .toList();
        return new ReportReply(
                loads(fields.map("l")),
                strikes(fields),
                changes,
                LearnedCapacityCodec.decode(fields, "k"),
                fields.optionalText("o").orElse(""));
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

    private static Map<String, Object> loadFields(Map<String, LoadAggregator.Load> loads) {
        Map<String, Object> fields = new LinkedHashMap<>();
        loads.forEach(
                (server, load) -> fields.put(server, List.of((long) load.requests(), load.pendingPromptTokens())));
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
