package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.connection.ServerCapacity;
import org.agatehatch.internal.process.CapacityExchange;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.LearnedCapacity;

/**
 * What the answers tell of the speed of all servers: this node's and, by the exchange of reports, the other nodes'. The only source
 * of speeds for all that depends on them. Runs on the traffic thread.
 */
public final class CapacityEstimates {
    /**
     * Added to expected and actual times before they are compared: a delay of a step or two in a short answer says little of the
     * server's speed.
     */
    private static final double SOFTENING_MILLIS = 25;

    /** A first event tells of its model's speed only if most of the work ahead of it was its own. */
    private static final double MIN_OWN_PART = 0.5;

    /** Told what has been learned. */
    public interface Listener {
        /** Ignores what has been learned. */
        Listener NONE = new Listener() {
            @Override
            public void onFactor(
                    ServerEntry server, double factor, int answers, int usefulConcurrency, String reason) {}

            @Override
            public void onService(String service, double usualFactor, double slowestFactor, int answeringServers) {}
        };

        /**
         * A server's factor has changed by half.
         *
         * @param factor time that the server takes, as a multiple of what the service's usual server takes
         * @param answers number of latest answers that the factor rests on
         * @param reason own_answers or report
         */
        void onFactor(ServerEntry server, double factor, int answers, int usefulConcurrency, String reason);

        /**
         * The values of a service, at each report.
         *
         * @param usualFactor time of the usual server, as a multiple of the expected one; in milliseconds without generation
         * @param slowestFactor time of the slowest server, as a multiple of the usual one's
         * @param answeringServers servers that have answered within the last seconds
         */
        void onService(String service, double usualFactor, double slowestFactor, int answeringServers);
    }

    private final MonotonicClock clock;
    private final double generationMillis;
    private final Listener listener;
    private final Map<String, ServiceCapacity> generatingServices = new HashMap<>();
    private final Map<String, ServiceCapacity> plainServices = new HashMap<>();
    private final Map<String, ServerEntry> entryByProcess = new HashMap<>();
    private final Map<String, LearnedCapacity> unreported = new LinkedHashMap<>();

    /**
     * Creates estimates without answers.
     *
     * @param generationMillis usual time of a generation's output
     */
    public CapacityEstimates(MonotonicClock clock, double generationMillis, Listener listener) {
        this.clock = clock;
        this.generationMillis = generationMillis;
        this.listener = listener;
    }

    /** Replaces the known servers. What was learned of processes that are gone is dropped. */
    public void setServers(FleetView fleet) {
        entryByProcess.clear();
        fleet.byService().forEach((service, servers) -> {
            servers.forEach(server -> entryByProcess.put(server.processKey(), server));
        });
        Set<String> processes = entryByProcess.keySet();
        generatingServices.values().forEach(service -> service.retain(processes));
        plainServices.values().forEach(service -> service.retain(processes));
    }

    /** Returns the estimates of a service, up to date; its answers with and without generation are compared separately. */
    ServiceCapacity service(String name, boolean generation) {
        Map<String, ServiceCapacity> services = generation ? generatingServices : plainServices;
        ServiceCapacity known = services.get(name);
        if (known == null) {
            known = new ServiceCapacity();
            services.put(name, known);
        }
        known.updateMedians(clock.millis());
        return known;
    }

    /** Returns the time to a runner's first event as a multiple of what its work takes on the usual runner. */
    double firstEventFactor(ServiceCapacity service, ServerCapacity server) {
        return Math.exp(service.firstEventLog(server, clock.millis()));
    }

    /** Returns the time that a model's prompts take as a multiple of the usual model's. */
    double modelFactor(ServiceCapacity service, String model) {
        return Math.exp(service.modelLog(model));
    }

    /** Returns the expected time to the first event, without the network, of a runner with this work ahead of it. */
    double firstEventMillis(double factor, double workMillis) {
        return Math.max(0, (workMillis + SOFTENING_MILLIS) * factor - SOFTENING_MILLIS);
    }

    /** Returns the expected time of a generation's output. */
    double outputMillis(ServiceCapacity service, ServerCapacity server, String model) {
        return generationMillis * Math.exp(service.outputLog(server, model, clock.millis()));
    }

    /** Returns the latency of a service's usual server without generation; 0 before any has answered. */
    double usualLatencyMillis(ServiceCapacity service) {
        return service.hasAnswers() ? Math.exp(service.usualFirstEventLog()) : 0;
    }

    /** Returns the expected latency of a server without generation; 0 before any server of the service has answered. */
    double latencyMillis(ServiceCapacity service, ServerCapacity server, int inFlight) {
        if (!service.hasAnswers()) {
            return 0;
        }
        double speedLog = server.firstEventLog(service.usualFirstEventLog(), clock.millis());
        return Math.exp(speedLog + server.concurrencyLog(inFlight));
    }

    /** Returns the expected time until the answer to a request begins. */
    public double expectedMillis(CapacityExpectation expected) {
        ServiceCapacity service = service(expected.server().service(), expected.generation());
        ServerCapacity server = service.server(expected.server());
        return expected.networkMillis()
                + (expected.generation()
                        ? firstEventMillis(firstEventFactor(service, server), expected.workMillis())
                        : latencyMillis(service, server, expected.inFlight()));
    }

    /** Records that a successful answer has begun. */
    public void answerBegun(CapacityExpectation expected, double actualMillis) {
        double serverMillis = Math.max(1, actualMillis - expected.networkMillis());
        if (!expected.generation()) {
            learn(expected, LearnedCapacity.Kind.LATENCY, Math.log(serverMillis), 1);
            return;
        }
        double ratio = (serverMillis + SOFTENING_MILLIS) / (expected.workMillis() + SOFTENING_MILLIS);
        boolean ownSpeed = expected.ownWork() >= MIN_OWN_PART * expected.workMillis();
        learn(
                expected,
                ownSpeed ? LearnedCapacity.Kind.FIRST_EVENT : LearnedCapacity.Kind.WORK,
                Math.log(ratio * expected.modelFactor()),
                expected.ownWork());
    }

    /** Records that the output of a generation is complete. */
    public void outputEnded(CapacityExpectation expected, double outputMillis) {
        learn(expected, LearnedCapacity.Kind.OUTPUT, Math.log(Math.max(1, outputMillis) / generationMillis), 0);
    }

    private void learn(CapacityExpectation expected, LearnedCapacity.Kind kind, double log, double work) {
        ServerEntry server = expected.server();
        LearnedCapacity value = new LearnedCapacity(
                server.service(),
                server.processKey(),
                expected.model(),
                kind,
                Math.max(-ServiceCapacity.MAX_LOG, kind == LearnedCapacity.Kind.LATENCY ? log : bounded(log)),
                1,
                expected.inFlight(),
                work);
        apply(value, "own_answers");
        String key = value.key();
        if (unreported.size() < CapacityExchange.MAX_IN_MESSAGE || unreported.containsKey(key)) {
            unreported.merge(key, value, LearnedCapacity::plus);
        }
    }

    /** Returns what this node has learned since the last call, and tells the listener of the services. */
    public List<LearnedCapacity> takeLearned() {
        List<LearnedCapacity> learned = List.copyOf(unreported.values());
        unreported.clear();
        generatingServices.forEach(this::tellListener);
        plainServices.forEach(this::tellListener);
        return learned;
    }

    private void tellListener(String name, ServiceCapacity service) {
        service.updateMedians(clock.millis());
        if (service.answeringServers() > 0) {
            listener.onService(
                    name,
                    Math.exp(service.usualFirstEventLog()),
                    Math.exp(service.slowestLog()),
                    service.answeringServers());
        }
    }

    private ServiceCapacity service(LearnedCapacity value) {
        return service(value.service(), value.kind() != LearnedCapacity.Kind.LATENCY);
    }

    /** Takes over what other nodes have learned. Values of unknown processes are ignored. */
    public void merge(List<LearnedCapacity> learned) {
        for (LearnedCapacity value : learned) {
            ServerEntry server = entryByProcess.get(value.process());
            if (server != null && server.service().equals(value.service()) && value.answers() > 0) {
                apply(value, "report");
                service(value).server(server).recordOthersWork(value.work(), clock.millis());
                service(value).recordOthersWork(value, clock.millis());
            }
        }
    }

    private void apply(LearnedCapacity value, String reason) {
        ServerEntry entry = entryByProcess.get(value.process());
        if (entry == null) {
            return;
        }
        ServiceCapacity service = service(value);
        ServerCapacity server = service.server(entry);
        service.add(server, value, clock.millis());
        service.updateMedians(clock.millis());
        double relativeLog = service.relativeLog(server, clock.millis());
        if (server.hasChangedByHalf(relativeLog)) {
            listener.onFactor(entry, Math.exp(relativeLog), server.answers(), server.usefulConcurrency(), reason);
        }
    }

    private static double bounded(double log) {
        return Math.max(-ServiceCapacity.MAX_LOG, Math.min(ServiceCapacity.MAX_LOG, log));
    }
}
