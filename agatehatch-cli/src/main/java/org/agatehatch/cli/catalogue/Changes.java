package org.agatehatch.cli.catalogue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agatehatch.cli.Invocation;
import org.agatehatch.cli.Usage;
import org.agatehatch.cli.node.NodeClient;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** What commands that change the catalogue have in common: {@code --wait} and the report of the result. */
final class Changes {
    private static final String WAIT = "wait";
    private static final String TIMEOUT = "timeout-ms";
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

    private Changes() {}

    static Options options() {
        Options options = new Options();
        options.addOption(null, WAIT, false, "wait until every live node that is not leaving has the new version");
        options.addOption(Option.builder()
                .longOpt(TIMEOUT)
                .hasArg()
                .argName("MS")
                .desc("longest wait of --wait (default " + VersionWait.DEFAULT_TIMEOUT_MILLIS + ")")
                .get());
        return options;
    }

    /** Fails if an option is wrong; called before anything is changed. */
    static void check(Invocation invocation) {
        timeoutMillis(invocation);
        if (invocation.line().hasOption(TIMEOUT) && !invocation.line().hasOption(WAIT)) {
            throw Usage.wrong("--" + TIMEOUT + " has no effect without --" + WAIT + "; add it");
        }
    }

    /** Waits if the operator asked for it, and prints the result. */
    static void finish(Invocation invocation, NodeClient node, long version) {
        ObjectNode result = JsonNodeFactory.instance.objectNode().put("version", version);
        if (invocation.line().hasOption(WAIT)) {
            invocation.output().progress("version " + version + " is accepted");
            result.put("nodes", new VersionWait(node, invocation).await(version, timeoutMillis(invocation)));
        }
        invocation
                .output()
                .print(
                        result,
                        json -> json.has("nodes")
                                ? "version " + version + " is in force on all " + json.path("nodes") + " live nodes"
                                : "version " + version + " is accepted");
    }

    private static long timeoutMillis(Invocation invocation) {
        return invocation.number(TIMEOUT, 1, MAX_TIMEOUT_MILLIS).orElse(VersionWait.DEFAULT_TIMEOUT_MILLIS);
    }
}
