package org.agatehatch.daemon.front;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agatehatch.internal.process.digest.Membership.Member;
import org.agatehatch.internal.version.CatalogueHistory;
import org.agatehatch.internal.version.LeaseTable;
import org.agatehatch.internal.version.ReplicatedState;

/** Renders this node's view of the deployment as JSON for operators. */
public final class StatusReports {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String node;
    private final NodeStatus status;
    private final Executor controlExecutor;
    private final Supplier<ReplicatedState> state;
    private final Supplier<List<Member>> liveMembers;
    private final Consumer<ObjectNode> nodeStatusFields;

    /**
     * @param controlExecutor runs tasks on the control thread
     * @param state replicated state; read only on the control thread
     * @param nodeStatusFields adds fields about this node to the status
     */
    public StatusReports(
            String node,
            NodeStatus status,
            Executor controlExecutor,
            Supplier<ReplicatedState> state,
            Supplier<List<Member>> liveMembers,
            Consumer<ObjectNode> nodeStatusFields) {
        this.node = node;
        this.status = status;
        this.controlExecutor = controlExecutor;
        this.state = state;
        this.liveMembers = liveMembers;
        this.nodeStatusFields = nodeStatusFields;
    }

    CompletionStage<String> status() {
        return renderOnControlThread(() -> {
            ReplicatedState current = state.get();
            ObjectNode root = JSON.createObjectNode()
                    .put("node", node)
                    .put("serving", status.serving())
                    .put("reason", status.reason())
                    .put("catalogue_version", current.catalogue().version())
                    .put("control_offset", current.throughOffset())
                    .put("models", current.catalogue().models().size())
                    .put("live_nodes", liveMembers.get().size());
            ArrayNode leases = root.putArray("leases");
            for (LeaseTable.Lease lease : current.leases().all()) {
                leases.addObject()
                        .put("lease", lease.name())
                        .put("node", lease.node())
                        .put("fencing_number", lease.fencingNumber());
            }
            nodeStatusFields.accept(root);
            return root.toString();
        });
    }

    CompletionStage<String> placement() {
        return renderOnControlThread(() -> {
            ArrayNode charges = JSON.createObjectNode().putArray("charges");
            state.get().ledger().charges().forEach(charge -> {
                ObjectNode entry = charges.addObject()
                        .put("model", charge.model())
                        .put("version", charge.version())
                        .put("runner", charge.runner())
                        .put("memory_mib", charge.memoryMib())
                        .put("state", charge.state().name());
                ArrayNode accelerators = entry.putArray("accelerators");
                charge.accelerators().forEach(accelerators::add);
            });
            ObjectNode root = JSON.createObjectNode();
            root.set("charges", charges);
            return root.toString();
        });
    }

    CompletionStage<String> history() {
        return renderOnControlThread(() -> {
            ObjectNode root = JSON.createObjectNode();
            ArrayNode changes = root.putArray("changes");
            for (CatalogueHistory.Change change : state.get().history().changes()) {
                changes.addObject()
                        .put("version", change.version())
                        .put("offset", change.offset())
                        .put("operator", change.operator());
            }
            return root.toString();
        });
    }

    String nodes() {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode nodes = root.putArray("nodes");
        liveMembers
                .get()
                .forEach(member -> nodes.addObject()
                        .put("name", member.info().name())
                        .put("address", member.info().callerAddress())
                        .put("failure_domain", member.info().failureDomain())
                        .put("region", member.info().region())
                        .put(
                                "state",
                                member.leaving()
                                        ? "LEAVING"
                                        : member.heartbeat().state().name())
                        .put("catalogue_version", member.heartbeat().catalogueVersion())
                        .put("silent_ms", member.silentMillis()));
        return root.toString();
    }

    private CompletionStage<String> renderOnControlThread(Supplier<String> report) {
        return CompletableFuture.supplyAsync(report, controlExecutor);
    }
}
