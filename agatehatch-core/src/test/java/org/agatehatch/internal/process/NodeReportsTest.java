package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import java.util.Map;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PromptPart;
import org.agatehatch.api.peer.PeerMessage;
import org.testng.annotations.Test;

/** Guards against reports between nodes whose contents are lost, mixed up or counted twice. */
public final class NodeReportsTest {
    @Test
    public void a_decoded_message_equals_the_encoded_one() {
        ResidencyMessages.Request request = new ResidencyMessages.Request("s", "m", "a1");
        assertEquals(ResidencyMessages.decodeResidencyRequest(ResidencyMessages.encode(request)), request);
        ResidencyMessages.Reply reply = new ResidencyMessages.Reply("r1", 250);
        assertEquals(ResidencyMessages.decodeResidencyReply(ResidencyMessages.encode(reply)), reply);
        PoisonRequestDetector.Strike strike = new PoisonRequestDetector.Strike(-77, "r1@5");
        ResidencyMessages.NodeReport report = new ResidencyMessages.NodeReport(
                "n1",
                List.of(new ResidencyMessages.Demand("s", "m", "", 120)),
                Map.of("r1", new LoadAggregator.Load(3, 4_000)),
                List.of(strike),
                List.of(new ResidencyMessages.DemandAverages("s", "m", 300, 200)));
        ResidencyMessages.HolderSuspicion suspicion = new ResidencyMessages.HolderSuspicion("n1", "n2|d|h|i|75");
        assertEquals(ResidencyMessages.decodeHolderSuspicion(ResidencyMessages.encode(suspicion)), suspicion);
        assertEquals(ResidencyMessages.decodeNodeReport(ResidencyMessages.encode(report)), report);
        ResidencyMessages.ReportReply reportReply = new ResidencyMessages.ReportReply(
                report.loads(), report.strikes(), List.of(new ResidencyMessages.Change("r1", "m", "", false)));
        assertEquals(ResidencyMessages.decodeReportReply(ResidencyMessages.encode(reportReply)), reportReply);
    }

    @Test
    public void a_malformed_message_is_rejected() {
        PeerMessage malformed = new PeerMessage(ResidencyMessages.RESIDENCY_REQUEST, new byte[] {1, 2, 3});
        assertThrows(IllegalArgumentException.class, () -> ResidencyMessages.decodeResidencyRequest(malformed));
    }

    @Test
    public void each_node_gets_the_sum_of_the_others() {
        VirtualTime time = new VirtualTime();
        LoadAggregator aggregator = new LoadAggregator(time, () -> 3);
        aggregator.exchange("n1", Map.of("r1", new LoadAggregator.Load(2, 100)));
        aggregator.exchange("n2", Map.of("r1", new LoadAggregator.Load(1, 50), "r2", new LoadAggregator.Load(4, 0)));
        assertEquals(
                aggregator.exchange("n3", Map.of("r1", new LoadAggregator.Load(9, 900))),
                Map.of("r1", new LoadAggregator.Load(3, 150), "r2", new LoadAggregator.Load(4, 0)));
        time.advance(ReportIntervals.staleAfterMillis(3) + 1);
        assertEquals(aggregator.exchange("n1", Map.of()), Map.of(), "loads of nodes whose reports are stale");
    }

    /**
     * Guards against orders to unload an adapter in use: the runner accepts no other order until the adapter's last request has
     * ended.
     */
    @Test
    public void an_adapter_is_reported_for_as_long_as_a_request_uses_it() {
        DemandMeter meter = new DemandMeter(40, service -> 64, new VirtualTime());
        GenerationRequest request = new GenerationRequest("m", "a1", 4_000, 100, List.of());
        meter.requestSent("s", request);
        meter.requestSent("s", request);
        assertEquals(meter.takeDemand(), List.of(new ResidencyMessages.Demand("s", "m", "a1", 0)));
        meter.requestEnded("s", request);
        assertEquals(meter.takeDemand(), List.of(new ResidencyMessages.Demand("s", "m", "a1", 0)));
        meter.requestEnded("s", request);
        assertEquals(meter.takeDemand(), List.of());
    }

    /** Guards against hidden demand: a count of sent requests alone misses it when the model's runners are overloaded. */
    @Test
    public void refused_requests_count_as_demand() {
        DemandMeter meter = new DemandMeter(40, service -> 64, new VirtualTime());
        List<PromptPart> parts = List.of(new PromptPart("a", 3_000), new PromptPart("b", 800));
        meter.addRefused("s", new GenerationRequest("m", "", 3_800, 100, parts));
        assertEquals(meter.takeDemand(), List.of(new ResidencyMessages.Demand("s", "m", "", 1.4 * 20 / 2)));
    }

    @Test
    public void demand_is_reported_once() {
        VirtualTime time = new VirtualTime();
        DemandMeter meter = new DemandMeter(40, service -> 64, time);
        GenerationRequest request = new GenerationRequest("m", "a1", 4_000, 100, List.of());
        meter.add("s", request, 4_000);
        meter.add("s", request, 0);
        assertEquals(
                meter.takeDemand(),
                List.of(new ResidencyMessages.Demand("s", "m", "a1", 1.4 * 100 + 100 * 5.5 * 0.5 / 64)));
        assertEquals(meter.takeDemand(), List.of());
        ResidencyMessages.DemandAverages rate = meter.history().get(0);
        assertEquals(rate.slowPerSecond(), (1.4 * 100 + 100 * 5.5 * 0.5 / 64) / 5, 0.1);
        time.advance(60_000);
        assertEquals(meter.history(), List.of(), "averages that have decayed");
    }

    /** Guards against demand that is several times too high because few answers use the whole of their maximum output. */
    @Test
    public void demand_follows_the_output_that_answers_really_have() {
        DemandMeter meter = new DemandMeter(40, service -> 64, new VirtualTime());
        GenerationRequest request = new GenerationRequest("m", "", 400, 1_000, List.of());
        for (int i = 0; i < 300; i++) {
            meter.answered(request, 1_100);
        }
        meter.add("s", request, 400);
        assertEquals(meter.takeDemand().get(0).workMillis(), (10 + 1_100) / 64.0, 0.1);
    }
}
