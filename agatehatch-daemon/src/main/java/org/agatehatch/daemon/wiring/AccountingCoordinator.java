package org.agatehatch.daemon.wiring;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.agatehatch.api.log.LogRecord;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.internal.process.AccountLedger;
import org.agatehatch.internal.process.AccountRecord;
import org.agatehatch.internal.process.AccountRecordCodec;
import org.agatehatch.internal.process.AccountReporter;

/** This node's account counters, and the sum over all nodes for operators. */
final class AccountingCoordinator {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int READ_RECORDS = 1_000;
    private static final int CHECKPOINT_RECORDS = 100;
    private static final long CHECKPOINT_MILLIS = 600_000;

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
        this.nextCheckpointMillis = context.clock().millis() + CHECKPOINT_MILLIS;
    }

    AccountReporter reporter() {
        return reporter;
    }

    /** Does what is due on the control thread. The lease holder keeps counters of ended processes in the log. */
    void tick() {
        reporter.tick();
        if (context.clock().millis() >= nextCheckpointMillis) {
            nextCheckpointMillis = context.clock().millis() + CHECKPOINT_MILLIS;
            if (replicated.leases().isHeld(LogStreams.ACCOUNTS)) {
                ledger().thenAccept(this::checkpoint);
            }
        }
    }

    private void checkpoint(AccountLedger ledger) {
        List<AccountRecord> records = ledger.checkpoint();
        for (int from = 0; from < records.size(); from += CHECKPOINT_RECORDS) {
            List<AccountRecord> part = records.subList(from, Math.min(records.size(), from + CHECKPOINT_RECORDS));
            context.log().append(LogStreams.ACCOUNTS, AccountRecordCodec.encode(part));
        }
    }

    /** Returns the totals of all owners as JSON. */
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

    /** Reads the whole stream; operators ask rarely, and checkpoints bound its length. */
    private CompletionStage<AccountLedger> ledger() {
        return read(new AccountLedger(), 0);
    }

    private CompletionStage<AccountLedger> read(AccountLedger ledger, long fromOffset) {
        return context.log()
                .read(LogStreams.ACCOUNTS, fromOffset, READ_RECORDS, Duration.ZERO)
                .thenCompose(batch -> {
                    long next = fromOffset;
                    for (LogRecord record : batch.records()) {
                        AccountRecordCodec.decode(record.payload()).forEach(ledger::merge);
                        next = record.offset() + 1;
                    }
                    boolean end = batch.records().isEmpty() || next >= batch.endOffset();
                    return end ? CompletableFuture.completedFuture(ledger) : read(ledger, next);
                });
    }
}
