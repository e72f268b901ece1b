package org.agatehatch.benchmarks;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.connection.PeerFrame;
import org.agatehatch.internal.connection.PeerFrameCodec;
import org.agatehatch.internal.process.RendezvousHash;
import org.agatehatch.internal.process.digest.Digest;
import org.agatehatch.internal.process.digest.DigestCodec;
import org.agatehatch.internal.process.digest.DigestEntry;
import org.agatehatch.internal.process.digest.DigestKind;
import org.agatehatch.internal.process.digest.DigestPacing;
import org.agatehatch.internal.process.digest.DigestPayloads;
import org.agatehatch.internal.process.digest.Heartbeat;
import org.agatehatch.internal.process.digest.NeighbourSelection;
import org.agatehatch.internal.process.digest.NodeInfo;
import org.agatehatch.internal.process.digest.NodeState;
import org.agatehatch.internal.process.digest.RunnerLoad;

/**
 * Measures what the digest costs each node at several sizes of the deployment: bytes on the links with the real codecs,
 * processor time, heap, and how old the loads are when they arrive. Time is virtual, processor time is real.
 *
 * <p>Run: {@code java -cp ... org.agatehatch.benchmarks.ControlCostBenchmark}.
 */
public final class ControlCostBenchmark {
    private static final int[][] SIZES = {{8, 12}, {50, 77}, {150, 230}, {390, 600}};
    private static final long STEP_MILLIS = 50;
    private static final long WARM_UP_MILLIS = 30_000;
    private static final long MEASURED_MILLIS = 60_000;
    private static final int MAX_DELTA_BYTES = 128 * 1024;
    /** Sequence, message authentication code and length prefix of a frame. */
    private static final int FRAME_OVERHEAD_BYTES = 20;

    /** Of the two observers of a runner only the first one publishes while it lives. */
    private static final int OBSERVERS = 1;

    private static final int OWNERS = 20;
    private static final int USAGE_SAMPLE = 8;

    private final Random random = new Random(20261204);
    private final int runners;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final Map<Long, Long> loadReadMillis = new HashMap<>();
    private long nowMillis = 1_000_000;
    private long ageSumMillis;
    private long ageCount;

    private ControlCostBenchmark(int nodeCount, int runners) {
        this.runners = runners;
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new SimulatedNode(new NodeInfo(
                    "node-" + i,
                    "incarnation",
                    "10.0.0.1:8080",
                    "10.0.0.1:9090",
                    "domain-" + i % 6,
                    "region-" + i % 3)));
        }
        connect();
        assignObservers();
    }

    /** Prints one line for each size. */
    public static void main(String[] arguments) {
        System.out.println("nodes runners bytes_per_s_per_node cpu_percent_of_core heap_kib_per_node load_age_ms_mean");
        for (int[] size : SIZES) {
            new ControlCostBenchmark(size[0], size[1]).run();
        }
    }

    private void run() {
        advance(WARM_UP_MILLIS);
        nodes.forEach(node -> node.bytesSent = 0);
        ageSumMillis = 0;
        ageCount = 0;
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long cpuBefore = threads.getCurrentThreadCpuTime();
        advance(MEASURED_MILLIS);
        long cpuNanos = threads.getCurrentThreadCpuTime() - cpuBefore;
        double seconds = MEASURED_MILLIS / 1e3;
        long sent = nodes.stream().mapToLong(node -> node.bytesSent).sum();
        // Each byte is sent by one node and received by another; both count.
        double bytesPerNode = 2.0 * sent / nodes.size() / seconds;
        double cpuPercent = 100.0 * cpuNanos / 1e9 / seconds / nodes.size();
        System.out.printf(
                "%d %d %.0f %.3f %d %d%n",
                nodes.size(),
                runners,
                bytesPerNode,
                cpuPercent,
                heapKib() / nodes.size(),
                ageCount == 0 ? 0 : ageSumMillis / ageCount);
    }

    private static long heapKib() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / 1_024;
    }

    private void connect() {
        List<NodeInfo> all = nodes.stream().map(node -> node.info).toList();
        Map<String, SimulatedNode> byName = new HashMap<>();
        nodes.forEach(node -> byName.put(node.info.name(), node));
        for (SimulatedNode node : nodes) {
            for (NodeInfo chosen : NeighbourSelection.choose(node.info, all)) {
                SimulatedNode other = byName.get(chosen.name());
                node.links.put("link-" + node.info.name() + "-" + chosen.name(), other);
                other.links.put("link-" + node.info.name() + "-" + chosen.name(), node);
            }
        }
    }

    private void assignObservers() {
        List<String> names = nodes.stream().map(node -> node.info.name()).toList();
        for (int runner = 0; runner < runners; runner++) {
            List<String> ranked = RendezvousHash.rank("runner-" + runner, names);
            for (SimulatedNode node : nodes) {
                if (ranked.subList(0, Math.min(OBSERVERS, ranked.size())).contains(node.info.name())) {
                    node.observed.add(runner);
                }
            }
        }
    }

    private void advance(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            nodes.forEach(SimulatedNode::tick);
        }
    }

    private final class SimulatedNode {
        private final NodeInfo info;
        private final Digest digest;
        private final Map<String, SimulatedNode> links = new TreeMap<>();
        private final List<Integer> observed = new ArrayList<>();
        private final long phaseMillis = random.nextInt(5_000);
        private long bytesSent;
        private long nextHeartbeatMillis;
        private long nextLoadMillis;
        private long nextExchangeMillis;
        private long nextUsageMillis;

        private SimulatedNode(NodeInfo info) {
            this.info = info;
            this.digest = new Digest(() -> nowMillis * 1_000_000, () -> nowMillis, this::onEntry);
            digest.publish(DigestKind.NODE, RendezvousHash.hash(info.name()), DigestPayloads.encode(info));
        }

        private void onEntry(DigestEntry entry) {
            if (entry.kind() == DigestKind.RUNNER_LOAD) {
                ageSumMillis += nowMillis - loadReadMillis.getOrDefault(entry.key(), nowMillis);
                ageCount++;
            }
        }

        private void tick() {
            long at = nowMillis + phaseMillis;
            if (at >= nextHeartbeatMillis) {
                nextHeartbeatMillis = at + DigestPacing.heartbeatMillis(nodes.size());
                byte[] heartbeat = DigestPayloads.encode(new Heartbeat(NodeState.READY, 400, nowMillis / 50));
                digest.publish(DigestKind.HEARTBEAT, RendezvousHash.hash(info.name()), heartbeat);
                digest.expire();
            }
            if (at >= nextLoadMillis) {
                nextLoadMillis = at + DigestPacing.loadPeriodMillis(runners);
                observed.forEach(this::publishLoad);
            }
            if (at >= nextUsageMillis) {
                nextUsageMillis = at + (nodes.size() > USAGE_SAMPLE ? 5_000 : 1_000);
                publishUsage();
            }
            if (at >= nextExchangeMillis) {
                nextExchangeMillis = at + DigestPacing.linkPeriodMillis(nodes.size());
                links.forEach(this::send);
            }
        }

        /** Every load differs from the last one, which is the worst case: unchanged loads are not sent. */
        private void publishLoad(int runner) {
            RunnerLoad load = new RunnerLoad(
                    runner,
                    nowMillis / 1_000,
                    random.nextInt(50_000),
                    random.nextInt(64),
                    nowMillis / 100,
                    0.5,
                    20_000,
                    60,
                    1);
            long key = RendezvousHash.hash("runner-" + runner) & 0xffff_ffffL;
            loadReadMillis.put(key, nowMillis);
            digest.publish(DigestKind.RUNNER_LOAD, key, DigestPayloads.encode(load));
        }

        private void publishUsage() {
            List<String> names = nodes.stream().map(node -> node.info.name()).toList();
            boolean inSample = RendezvousHash.rank("owner-usage", names).stream()
                    .limit(USAGE_SAMPLE)
                    .anyMatch(info.name()::equals);
            if (!inSample) {
                return;
            }
            Map<String, Double> usage = new TreeMap<>();
            for (int owner = 0; owner < OWNERS; owner++) {
                usage.put("owner-" + owner, random.nextDouble());
            }
            digest.publish(DigestKind.OWNER_USAGE, RendezvousHash.hash(info.name()), DigestPayloads.encode(usage));
        }

        private void send(String link, SimulatedNode other) {
            List<DigestEntry> delta = digest.takeDelta(link, MAX_DELTA_BYTES);
            if (delta.isEmpty()) {
                return;
            }
            PeerMessage message = new PeerMessage("digest", DigestCodec.encode(delta));
            byte[] frame = PeerFrameCodec.encode(new PeerFrame(PeerFrame.Kind.NOTICE, 0, message));
            bytesSent += frame.length + FRAME_OVERHEAD_BYTES;
            PeerFrame received = PeerFrameCodec.decode(frame, frame.length, info.name());
            other.digest.merge(link, DigestCodec.decode(received.message().body(), info.name()));
        }
    }
}
