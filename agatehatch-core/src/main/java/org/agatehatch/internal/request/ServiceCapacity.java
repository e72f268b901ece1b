package org.agatehatch.internal.request;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.internal.connection.ServerCapacity;
import org.agatehatch.internal.process.LearnedCapacity;

/**
 * What is learned of the servers of one service. A runner's factor is that of the model on any runner of the service times that of
 * the runner's process for any model, so that a few answers tell much of either.
 */
final class ServiceCapacity {
    /** Bounds of a learned factor, against answers that something else delayed. */
    static final double MAX_LOG = Math.log(20);

    /** Answers of a model before a difference from its factor is taken for one of the server. */
    private static final int MIN_MODEL_ANSWERS = 4;

    /** Weight with which one report of several answers counts, so that a single node does not decide alone. */
    private static final int MAX_REPEATS = 3;

    /** Step of the sequence that fills an interval most evenly. */
    private static final double GOLDEN_SECTION = (Math.sqrt(5) - 1) / 2;

    private static final int MAX_MODELS = 1_024;
    private static final long MEDIAN_INTERVAL_MILLIS = 100;

    private record Process(long startedAtMillis, ServerCapacity capacity) {}

    private final Map<String, ServerCapacity> servers = new HashMap<>();

    /** The processes seen last, found without building their keys. */
    private final Map<String, Process> latestById = new HashMap<>();

    private final Map<String, ServerCapacity> models = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ServerCapacity> eldest) {
            return size() > MAX_MODELS;
        }
    };
    private double drawPosition = -1;
    private double usualFirstEventLog;
    private double usualOutputLog;
    private double slowestLog;
    private int answeringServers;
    private boolean hasAnswers;
    private boolean mediansStale;
    private long mediansAtMillis;

    ServerCapacity server(ServerEntry server) {
        Process known = latestById.get(server.id());
        if (known != null && known.startedAtMillis == server.startedAtMillis()) {
            return known.capacity;
        }
        ServerCapacity capacity = servers.get(server.processKey());
        if (capacity == null) {
            capacity = new ServerCapacity(server.slots());
            servers.put(server.processKey(), capacity);
        }
        latestById.put(server.id(), new Process(server.startedAtMillis(), capacity));
        return capacity;
    }

    /**
     * Returns the next of a sequence of numbers from 0 to 1 that begins at random and fills the interval evenly. With independent
     * random numbers, servers get too many requests at times by chance.
     */
    double nextDraw(RandomGenerator random) {
        drawPosition = drawPosition < 0 ? random.nextDouble() : drawPosition + GOLDEN_SECTION;
        drawPosition -= Math.floor(drawPosition);
        return drawPosition;
    }

    void retain(Set<String> processes) {
        latestById.clear();
        mediansStale |= servers.keySet().retainAll(processes);
    }

    void add(ServerCapacity server, LearnedCapacity value, long nowMillis) {
        switch (value.kind()) {
            case LATENCY -> repeat(value, () -> server.recordLatency(value.log(), value.inFlight(), nowMillis));
            case FIRST_EVENT -> {
                ServerCapacity model = model(value.model());
                repeat(value, () -> {
                    // Time 0 keeps the factors of models from decaying: they depend on the model, not on the moment.
                    model.recordFirstEvent(value.log(), 0);
                    if (model.answers() >= MIN_MODEL_ANSWERS) {
                        server.recordFirstEvent(value.log(), model, nowMillis);
                    }
                });
            }
            case WORK -> {
                // Only counts as work of another node.
            }
            case OUTPUT -> {
                ServerCapacity model = model(value.model());
                repeat(value, () -> {
                    model.recordOutput(value.log(), 0);
                    server.recordOutput(value.log(), model, nowMillis);
                });
            }
        }
        hasAnswers = true;
        mediansStale = true;
    }

    /** Returns the logarithm of a model's factor on any runner: how much longer its prompts take than the usual model's. */
    double modelLog(String model) {
        ServerCapacity ofModel = models.get(model);
        return ofModel == null ? 0 : ofModel.firstEventLog(0, 0);
    }

    /** Returns the work that other nodes send for a model in a millisecond. */
    double othersWorkPerMilli(String model, long nowMillis) {
        ServerCapacity ofModel = models.get(model);
        return ofModel == null ? 0 : ofModel.othersWorkPerMilli(nowMillis);
    }

    void recordOthersWork(LearnedCapacity value, long nowMillis) {
        model(value.model()).recordOthersWork(value.work(), nowMillis);
    }

    /** Returns the logarithm of a runner's factor for any model. */
    double firstEventLog(ServerCapacity server, long nowMillis) {
        return server.significantFirstEventLog(usualFirstEventLog, nowMillis);
    }

    double outputLog(ServerCapacity server, String model, long nowMillis) {
        ServerCapacity ofModel = models.get(model);
        return (ofModel == null ? 0 : ofModel.outputLog(0, 0)) + server.outputLog(usualOutputLog, nowMillis);
    }

    /** Returns by how much a server's factor exceeds the usual one. */
    double relativeLog(ServerCapacity server, long nowMillis) {
        return server.significantFirstEventLog(usualFirstEventLog, nowMillis) - usualFirstEventLog;
    }

    double usualFirstEventLog() {
        return usualFirstEventLog;
    }

    double slowestLog() {
        return slowestLog;
    }

    /** Returns whether any server has ever answered. */
    boolean hasAnswers() {
        return hasAnswers;
    }

    int answeringServers() {
        return answeringServers;
    }

    /** Updates the usual server's factors if an answer has arrived; at most ten times a second, since it sorts them. */
    void updateMedians(long nowMillis) {
        if (!mediansStale || (mediansAtMillis > 0 && nowMillis - mediansAtMillis < MEDIAN_INTERVAL_MILLIS)) {
            return;
        }
        mediansStale = false;
        mediansAtMillis = nowMillis;
        double[] firstEvents = new double[servers.size()];
        double[] outputs = new double[servers.size()];
        int firstEventCount = 0;
        int outputCount = 0;
        for (ServerCapacity server : servers.values()) {
            Optional<Double> firstEvent = server.ownFirstEventLog(nowMillis);
            if (firstEvent.isPresent()) {
                firstEvents[firstEventCount++] = firstEvent.get();
            }
            Optional<Double> output = server.ownOutputLog(nowMillis);
            if (output.isPresent()) {
                outputs[outputCount++] = output.get();
            }
        }
        usualFirstEventLog = median(firstEvents, firstEventCount, usualFirstEventLog);
        usualOutputLog = median(outputs, outputCount, usualOutputLog);
        slowestLog = firstEventCount == 0 ? 0 : firstEvents[firstEventCount - 1] - usualFirstEventLog;
        answeringServers = firstEventCount;
    }

    private ServerCapacity model(String name) {
        ServerCapacity known = models.get(name);
        if (known == null) {
            known = new ServerCapacity(1);
            models.put(name, known);
        }
        return known;
    }

    private static void repeat(LearnedCapacity value, Runnable record) {
        for (int i = 0; i < Math.min(value.answers(), MAX_REPEATS); i++) {
            record.run();
        }
    }

    private static double median(double[] values, int count, double otherwise) {
        Arrays.sort(values, 0, count);
        return count == 0 ? otherwise : (values[(count - 1) / 2] + values[count / 2]) / 2;
    }
}
