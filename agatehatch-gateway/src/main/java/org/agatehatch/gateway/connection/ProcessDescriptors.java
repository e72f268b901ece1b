package org.agatehatch.gateway.connection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** File descriptors of this process. Read from /proc, because the JDK's management classes take tens of milliseconds to load. */
final class ProcessDescriptors {
    private static final String LIMIT = "Max open files";

    private ProcessDescriptors() {}

    /**
     * Returns how many descriptors the process may still open; the largest number if that is not known.
     *
     * @param maxDescriptors limit of the process; if empty, that of the operating system
     */
    static long free(OptionalLong maxDescriptors) {
        try (Stream<String> limits = Files.lines(Path.of("/proc/self/limits"));
                Stream<Path> open = Files.list(Path.of("/proc/self/fd"))) {
            if (maxDescriptors.isPresent()) {
                return maxDescriptors.getAsLong() - open.count();
            }
            Optional<String> soft = limits.filter(line -> line.startsWith(LIMIT))
                    .map(line -> line.substring(LIMIT.length()).trim().split(" ", 2)[0])
                    .filter(limit -> !limit.equals("unlimited"))
                    .findFirst();
            return soft.isPresent() ? Long.parseLong(soft.orElseThrow()) - open.count() : Long.MAX_VALUE;
        } catch (IOException e) {
            return maxDescriptors.orElse(Long.MAX_VALUE);
        }
    }
}
