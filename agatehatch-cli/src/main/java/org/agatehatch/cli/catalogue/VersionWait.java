package org.agatehatch.cli.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;
import org.agatehatch.cli.node.NodeClient;

/** Waits until every live node that is not leaving has a catalogue version in force. */
final class VersionWait {
    static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long POLL_MILLIS = 200;
    /** A node that hangs must not hold up the wait past its own timeout for long. */
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);

    private final NodeClient node;
    private final Invocation invocation;

    VersionWait(NodeClient node, Invocation invocation) {
        this.node = node;
        this.invocation = invocation;
    }

    /** Returns the number of nodes that have the version. Throws an error of step {@code wait} at the timeout. */
    int await(long version, long timeoutMillis) {
        long startMillis = invocation.clock().millis();
        String shown = "";
        while (true) {
            Progress progress = poll(version);
            if (progress.done()) {
                return progress.ready();
            }
            String line = progress.text(version);
            if (!line.equals(shown)) {
                invocation.output().progress(line);
                shown = line;
            }
            long leftMillis = startMillis + timeoutMillis - invocation.clock().millis();
            if (leftMillis <= 0) {
                throw timeout(line, version, timeoutMillis);
            }
            invocation.pause().pauseMillis(Math.min(POLL_MILLIS, leftMillis));
        }
    }

    private Progress poll(long version) {
        int ready = 0;
        List<String> behind = new ArrayList<>();
        JsonNode nodes;
        try {
            nodes = node.get("nodes", Map.of(), POLL_TIMEOUT).json().path("nodes");
        } catch (AgatehatchException e) {
            return new Progress(0, List.of("no node answered: " + e.getMessage()));
        }
        for (JsonNode member : nodes) {
            if (member.path("state").asText().equals("LEAVING")) {
                continue;
            }
            long present = member.path("catalogue_version").asLong(-1);
            if (present >= version) {
                ready++;
            } else {
                behind.add(member.path("name").asText() + " (version " + present + ")");
            }
        }
        return new Progress(ready, behind);
    }

    private static AgatehatchException timeout(String progress, long version, long timeoutMillis) {
        return new AgatehatchException(
                ErrorCode.DEADLINE_EXCEEDED,
                ExitCode.WAIT_STEP,
                "nodes",
                Outcome.RAN,
                "version " + version + " is accepted, but not in force on every node after " + timeoutMillis + " ms: "
                        + progress + "; look at 'agatehatch nodes', do not apply again");
    }

    /** Which nodes have the version. */
    private record Progress(int ready, List<String> behind) {
        boolean done() {
            return ready > 0 && behind.isEmpty();
        }

        String text(long version) {
            return ready + " nodes have version " + version + ", waiting for " + behind;
        }
    }
}
