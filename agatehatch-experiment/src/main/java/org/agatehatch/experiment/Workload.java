package org.agatehatch.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.agatehatch.experiment.Deployment.TrafficSource;

/**
 * Sends the requests of all entries. Arrivals are Poisson processes whose rates change with bursts and, for one model,
 * with a tenfold surge. They depend on the seed only, so all policies get the same requests.
 */
final class Workload {
    /** Begin and end of the surge, as parts of the run. */
    static final double SURGE_BEGIN = 0.25;

    static final double SURGE_END = 0.6;
    private static final double SURGE_FACTOR = 10;
    private static final double BURST_FACTOR = 4;
    private static final double BURST_MILLIS = 10_000;
    private static final double BETWEEN_BURSTS_MILLIS = 80_000;
    /** Part of the long manual that is cached, on average, where load factor 1 is stated. */
    private static final double MANUAL_CACHED = 0.9;

    private static final int STUDENTS = 40;
    private static final int NOTES_BLOCKS = 4;
    private static final double MILLIS_PER_MINUTE = 60_000;

    private final Deployment deployment;
    private final VirtualTime time;
    private final Metrics metrics;
    private final Consumer<ExperimentRequest> receiver;
    private final double endMillis;
    private final List<Stream> streams = new ArrayList<>();
    private long nextUnique = 1L << 40;

    Workload(
            Deployment deployment,
            ExperimentSettings settings,
            VirtualTime time,
            Metrics metrics,
            Consumer<ExperimentRequest> receiver) {
        this.deployment = deployment;
        this.time = time;
        this.metrics = metrics;
        this.receiver = receiver;
        this.endMillis = settings.minutes() * MILLIS_PER_MINUTE;
        double capacityPerMilli = settings.load() * Deployment.RUNNERS;
        double costPerWeight =
                deployment.sources().stream().mapToDouble(Workload::meanCost).sum();
        Random seeds = new Random(settings.seed());
        for (TrafficSource source : deployment.sources()) {
            double perMilli = source.weight() * capacityPerMilli / costPerWeight;
            streams.add(new Stream(source, perMilli, new Random(seeds.nextLong())));
        }
    }

    /** Engine time per weight, with the time-weighted mean of the surge. */
    private static double meanCost(TrafficSource source) {
        double surge = isSurging(source) ? 1 + (SURGE_FACTOR - 1) * (SURGE_END - SURGE_BEGIN) : 1;
        double uncached = source.promptTokens() + (1 - MANUAL_CACHED) * source.sharedTokens();
        return source.weight() * surge * EngineRates.costMillis(uncached, source.outputTokens());
    }

    private static boolean isSurging(TrafficSource source) {
        return source.entry().residentModel().equals(Deployment.SURGE_MODEL);
    }

    void start() {
        streams.forEach(Stream::scheduleNext);
    }

    private static long mix(long a, long b) {
        long mixed = a * 0x9E3779B97F4A7C15L + b;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    /** The requests of one entry. */
    private final class Stream {
        private final TrafficSource source;
        private final double meanPerMilli;
        private final Random random;
        private double burstBegin;
        private double burstEnd;

        Stream(TrafficSource source, double meanPerMilli, Random random) {
            this.source = source;
            this.meanPerMilli = meanPerMilli;
            this.random = random;
            nextBurst(0);
        }

        private void nextBurst(double after) {
            burstBegin = after + exponential(BETWEEN_BURSTS_MILLIS);
            burstEnd = burstBegin + exponential(BURST_MILLIS);
        }

        private double exponential(double mean) {
            return -mean * Math.log(1 - random.nextDouble());
        }

        void scheduleNext() {
            double highest = BURST_FACTOR * (isSurging(source) ? SURGE_FACTOR : 1);
            double gap = exponential(1 / (meanPerMilli * highest));
            double now = time.nanos() / 1e6;
            if (now + gap >= endMillis) {
                return;
            }
            time.after(gap, () -> {
                if (random.nextDouble() * highest < factor(time.nanos() / 1e6)) {
                    send();
                }
                scheduleNext();
            });
        }

        /** Returns the present rate over the mean one. */
        private double factor(double millis) {
            while (millis > burstEnd) {
                nextBurst(burstEnd);
            }
            double meanBurst =
                    (BETWEEN_BURSTS_MILLIS + BURST_FACTOR * BURST_MILLIS) / (BETWEEN_BURSTS_MILLIS + BURST_MILLIS);
            double burst = (millis >= burstBegin ? BURST_FACTOR : 1) / meanBurst;
            boolean surge = isSurging(source) && millis >= SURGE_BEGIN * endMillis && millis < SURGE_END * endMillis;
            return burst * (surge ? SURGE_FACTOR : 1);
        }

        private void send() {
            int own = Math.max(EngineRates.TOKENS_PER_BLOCK, (int) spread(source.promptTokens()));
            int output = Math.min(source.entry().maxOutputTokens(), Math.max(2, (int) spread(source.outputTokens())));
            ExperimentRequest request = new ExperimentRequest(
                    source.entry(),
                    deployment.catalogue().classes().get(source.entry().requestClass()),
                    own + source.sharedTokens(),
                    output,
                    blocks(own),
                    time.nanos(),
                    metrics);
            receiver.accept(request);
        }

        /** Half of the mean to one and a half of it. */
        private double spread(double mean) {
            return mean * (0.5 + random.nextDouble());
        }

        /** The shared part, then one student's or tool's notes, then text that no other prompt has. */
        private long[] blocks(int own) {
            int shared = source.sharedTokens() / EngineRates.TOKENS_PER_BLOCK;
            long[] blocks = new long[shared + own / EngineRates.TOKENS_PER_BLOCK];
            int student = random.nextInt(STUDENTS);
            long unique = nextUnique++;
            long previous = mix(source.group(), source.sharedTokens());
            for (int i = 0; i < blocks.length; i++) {
                long text = i < shared ? i : i < shared + NOTES_BLOCKS ? -1L - student : unique;
                previous = mix(previous, text);
                blocks[i] = previous;
            }
            return blocks;
        }
    }
}
