package org.agatehatch.benchmarks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.PromptPart;
import org.agatehatch.api.fleet.RequestKind;
import org.agatehatch.api.fleet.ResidentModel;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.fleet.WeightedService;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.LearnedCapacity;
import org.agatehatch.internal.process.LoadAggregator;
import org.agatehatch.internal.request.ChooserSettings;
import org.agatehatch.internal.request.ResidencyObservations;
import org.agatehatch.internal.request.ServerAvailability;
import org.agatehatch.internal.request.ServerChoice;
import org.agatehatch.internal.request.ServerChoiceRequest;
import org.agatehatch.internal.request.ServerChooser;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Cost of the gateway's choice of a server with learned speeds and unseen work, compiled as in the product. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(value = 1, jvmArgsAppend = "-XX:TieredStopAtLevel=1")
public class ServerChoiceBenchmark {
    private static final String SERVICE = "s";
    private static final int NODES = 90;

    /** Number of runners in the service. */
    @Param({"60", "600"})
    public int runners;

    /** Number of them that hold the request's model. */
    @Param({"6", "32"})
    public int candidates;

    private final MonotonicClock clock = MonotonicClock.system();
    private ServerChooser chooser;
    private ServerChoiceRequest[] requests;
    private int next;

    /** Builds a service, loads and learned values. */
    @Setup
    public void prepare() {
        Random random = new Random(1);
        int models = runners / candidates;
        List<ServerEntry> servers = new ArrayList<>();
        Map<String, LoadAggregator.Load> loads = new HashMap<>();
        List<LearnedCapacity> learned = new ArrayList<>();
        for (int i = 0; i < runners; i++) {
            String model = "m" + i % models;
            ServerEntry server = new ServerEntry(
                    "r" + i,
                    SERVICE,
                    new PeerAddress("10.0.0.1", 80),
                    "d" + i % 4,
                    64,
                    false,
                    1,
                    "v1",
                    List.of(new ResidentModel(model, 1, Set.of())),
                    Set.of());
            servers.add(server);
            loads.put(server.id(), new LoadAggregator.Load(random.nextInt(30), random.nextInt(20_000)));
            learned.add(new LearnedCapacity(
                    SERVICE,
                    server.processKey(),
                    model,
                    LearnedCapacity.Kind.FIRST_EVENT,
                    random.nextGaussian(),
                    5,
                    1,
                    500));
        }
        FleetView fleet = new FleetView(Map.of(SERVICE, servers));
        chooser = new ServerChooser(
                ChooserSettings.DEFAULT.withLearnedRunnerSpeeds(),
                "d0",
                () -> fleet,
                new ResidencyObservations(clock),
                new ServerAvailability(clock, new IgnoringListener()),
                clock,
                random,
                () -> NODES);
        requests = new ServerChoiceRequest[models];
        for (int i = 0; i < models; i++) {
            requests[i] = request("m" + i);
        }
        chooser.choose(requests[0]);
        chooser.updateRemoteLoads(loads);
        chooser.capacity().merge(learned);
    }

    private static ServerChoiceRequest request(String model) {
        RouteSpec route = new RouteSpec(
                "r",
                "h",
                "/p/",
                RequestKind.STREAM,
                60_000,
                60_000,
                0,
                List.of(new WeightedService(SERVICE, 1)),
                1,
                false,
                250);
        List<PromptPart> parts = List.of(new PromptPart("shared", 4_000), new PromptPart("own", 1_000));
        return new ServerChoiceRequest(
                route,
                SERVICE,
                Optional.of(new GenerationRequest(model, "", 5_000, 50, parts)),
                Optional.empty(),
                Set.of(),
                60_000,
                60_000,
                1_000);
    }

    /** Chooses a server for a request. */
    @Benchmark
    public ServerChoice choose() {
        return chooser.choose(requests[next++ % requests.length]);
    }

    private static final class IgnoringListener implements ServerAvailability.Listener {
        @Override
        public void onLeaving(ServerEntry server) {
            // The benchmark has no leaving servers.
        }

        @Override
        public void onClosed(ServerEntry server, long durationMillis) {
            // The benchmark has no closed servers.
        }
    }
}
