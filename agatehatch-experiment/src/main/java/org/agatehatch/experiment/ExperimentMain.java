package org.agatehatch.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.agatehatch.api.errors.AgatehatchException;

/** Runs experiments from the command line and prints what they measured. */
public final class ExperimentMain {
    private static final int SUCCESS = 0;
    private static final int INVALID_OPTIONS = 2;

    private ExperimentMain() {}

    /** Runs the experiments that the options ask for. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, new PrintStream(System.out, true, StandardCharsets.UTF_8)));
    }

    /** Runs the experiments that the options ask for and returns the exit code: 0, or 2 for invalid options. */
    public static int run(String[] arguments, PrintStream out) {
        ExperimentOptions options;
        try {
            options = ExperimentOptions.parse(arguments);
        } catch (AgatehatchException e) {
            out.println(e.getMessage());
            return INVALID_OPTIONS;
        }
        List<ExperimentResult> results = runAll(options);
        out.print(options.json() ? ResultJson.write(results) : ResultTable.write(results));
        options.plots().ifPresent(directory -> {
            try {
                ExperimentPlots.write(results, Path.of(directory));
            } catch (IOException e) {
                throw new UncheckedIOException("cannot write charts to '" + directory + "'; check the directory", e);
            }
        });
        return SUCCESS;
    }

    private static List<ExperimentResult> runAll(ExperimentOptions options) {
        ExecutorService threads = Executors.newFixedThreadPool(options.threads());
        try {
            List<Future<ExperimentResult>> started = new ArrayList<>();
            options.runs().forEach(settings -> started.add(threads.submit(() -> Experiment.run(settings))));
            List<ExperimentResult> results = new ArrayList<>();
            for (Future<ExperimentResult> run : started) {
                results.add(run.get());
            }
            return results;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while experiments ran; start them again", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run failed, which is a fault of the experiment", e.getCause());
        } finally {
            threads.shutdownNow();
        }
    }
}
