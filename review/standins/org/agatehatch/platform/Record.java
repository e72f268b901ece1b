package org.agatehatch.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, in order, for the file record.txt of a case. */
final class Record {
    private static final int MAX_LOG_LINES = 400;

    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    synchronized void add(String line) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        lines.add(String.format(Locale.ROOT, "%8.3f %s", seconds, line));
    }

    /** Adds the last lines of a process's log. */
    synchronized void addAll(String prefix, String text) {
        List<String> all = text.lines().toList();
        all.subList(Math.max(0, all.size() - MAX_LOG_LINES), all.size()).forEach(line -> lines.add(prefix + line));
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
