package org.agatehatch.daemon.wiring;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.internal.process.AccountLedger;
import org.agatehatch.internal.process.AccountRecord;
import org.agatehatch.internal.process.AccountRecordCodec;
import org.agatehatch.internal.process.AccountReporter;
import org.agatehatch.internal.process.LogScan;

/** Reports this node's account counters to the log and sums the counters of all nodes for operators. */
final class AccountingCoordinator {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_RECORDS_PER_CHECKPOINT_APPEND = 100;
    private static final long CHECKPOINT_INTERVAL_MILLIS = 600_000;

    private final NodeContext context;
    private final StateReplicator replicated;
    private final PeerNetwork peers;
    private final AccountReporter reporter;
    private long nextCheckpointMillis;

    AccountingCoordinator(NodeContext context, StateReplicator replicated, PeerNetwork peers) {
        this.context = context;
        this.replicated = replicated;
        this.peers = peers;
        this.reporter = new AccountReporter(
                context.settings().nodeName(),
                context.incarnation(),
                context.log(),
                context.clock(),
                context.control()::execute);
        this.nextCheckpointMillis = context.clock().millis() + CHECKPOINT_INTERVAL_MILLIS;
    }

    AccountReporter reporter() {
        return reporter;
    }

    /**
     * Reports counters when due; called on the control thread. The holder of the accounts lease also appends
     * checkpoints, so that the log retains the counters of ended processes.
     */
    void tick() {
        reporter.tick();
        if (context.clock().millis() >= nextCheckpointMillis) {
            nextCheckpointMillis = context.clock().millis() + CHECKPOINT_INTERVAL_MILLIS;
            if (replicated.leases().isHeld(LogStreams.ACCOUNTS)) {
                ledger().thenAccept(this::checkpoint);
            }
        }
    }

    private void checkpoint(AccountLedger ledger) {
        List<AccountRecord> records = ledger.latestRecords();
        for (int from = 0; from < records.size(); from += MAX_RECORDS_PER_CHECKPOINT_APPEND) {
            List<AccountRecord> part =
                    records.subList(from, Math.min(records.size(), from + MAX_RECORDS_PER_CHECKPOINT_APPEND));
            context.log().append(LogStreams.ACCOUNTS, AccountRecordCodec.encode(part));
        }
    }

    /** Returns as JSON the totals of all owners, and the gaps in the counters of processes. */
    CompletionStage<String> json() {
        return ledger().thenApply(this::render);
    }

    private String render(AccountLedger ledger) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode owners = root.putArray("owners");
        new TreeMap<>(ledger.totals())
                .forEach((owner, counters) -> owners.addObject()
                        .put("owner", owner)
                        .put("requests", counters.requests())
                        .put("prompt_tokens", counters.promptTokens())
                        .put("output_tokens", counters.outputTokens())
                        .put("accelerator_ms_given", counters.acceleratorMillisGiven())
                        .put("accelerator_ms_taken", counters.acceleratorMillisTaken()));
        Set<String> live = peers.live().stream()
                .map(member -> member.info().name() + ' ' + member.info().incarnation())
                .collect(Collectors.toSet());
        ArrayNode gaps = root.putArray("gaps");
        ledger.gaps((node, incarnation) -> live.contains(node + ' ' + incarnation))
                .forEach(gap -> gaps.addObject()
                        .put("node", gap.node())
                        .put("incarnation", gap.incarnation())
                        .put("last_sequence", gap.lastSequence()));
        return root.toString();
    }

    /** Reads the whole stream, which is cheap enough: operators ask rarely, and checkpoints bound its length. */
    private CompletionStage<AccountLedger> ledger() {
        AccountLedger ledger = new AccountLedger();
        return LogScan.toEnd(
                        context.log(),
                        LogStreams.ACCOUNTS,
                        0,
                        record -> AccountRecordCodec.decode(record.payload()).forEach(ledger::merge))
                .thenApply(done -> ledger);
    }
}
