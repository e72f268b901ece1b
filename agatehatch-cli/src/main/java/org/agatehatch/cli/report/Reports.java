package org.agatehatch.cli.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.agatehatch.cli.Command;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;
import org.agatehatch.cli.output.Table;

/** Commands that print one report of a node. */
public final class Reports {
    private Reports() {}

    /** Returns the command that shows one node's view of the deployment. */
    public static Command status() {
        return report("status", "show the state of the node and the leases", Reports::statusTable);
    }

    /** Returns the command that lists the live nodes. */
    public static Command nodes() {
        List<String> fields =
                List.of("name", "address", "failure_domain", "region", "state", "catalogue_version", "silent_ms");
        return report("nodes", "list the live nodes", json -> Table.ofObjects(json.path("nodes"), fields));
    }

    /** Returns the command that lists what is placed on which runner. */
    public static Command placement() {
        List<String> fields = List.of("model", "version", "runner", "accelerators", "memory_mib", "state");
        return report(
                "placement",
                "list the models on each runner and the memory promised to them",
                json -> Table.ofObjects(json.path("charges"), fields));
    }

    /** Returns the command that shows the owners' accounts. */
    public static Command accounts() {
        List<String> fields = List.of(
                "owner", "requests", "prompt_tokens", "output_tokens", "accelerator_ms_given", "accelerator_ms_taken");
        return report(
                "accounts",
                "show what each owner put in and took out",
                json -> Table.ofObjects(json.path("owners"), fields)
                        + (json.path("gaps").isEmpty()
                                ? ""
                                : "\nGaps: counters of these ended nodes may be missing\n"
                                        + Table.ofObjects(
                                                json.path("gaps"), List.of("node", "incarnation", "last_sequence"))));
    }

    private static String statusTable(JsonNode status) {
        Table table = new Table(List.of("field", "value"));
        status.fields().forEachRemaining(field -> {
            if (!field.getKey().equals("leases")) {
                JsonNode value = field.getValue();
                table.row(List.of(field.getKey(), value.isValueNode() ? value.asText() : value.toString()));
            }
        });
        return table + "\n" + Table.ofObjects(status.path("leases"), List.of("lease", "node", "fencing_number"));
    }

    private static Command report(String name, String summary, Function<JsonNode, String> table) {
        return new ReportCommand(name, summary, table);
    }

    /** Prints the answer of the path of the same name. */
    private record ReportCommand(String name, String summary, Function<JsonNode, String> table) implements Command {
        @Override
        public List<String> examples() {
            List<String> examples = new ArrayList<>(List.of("agatehatch " + name));
            examples.add("agatehatch --node http://127.0.0.1:8080 " + name + " --output json");
            return examples;
        }

        @Override
        public ExitCode run(Invocation invocation) {
            invocation.requireAtMost(0);
            invocation.output().print(invocation.node().get(name, Map.of()).json(), table);
            return ExitCode.OK;
        }
    }
}
