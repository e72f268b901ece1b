package org.agatehatch.daemon.front;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueReader;
import org.agatehatch.api.catalogue.CatalogueResult;
import org.agatehatch.api.catalogue.CatalogueWriter;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.process.AppendResult;
import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.CatalogueChanges;
import org.agatehatch.internal.version.ReplicatedState;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.CatalogueChange;
import org.agatehatch.internal.version.record.StateRecord.DrainSet;

/** Catalogue operations of the operators' HTTP interface: reading, replacing and draining. */
public final class CatalogueAdmin {
    private final Executor controlExecutor;
    private final Supplier<ReplicatedState> state;
    private final Function<StateRecord, CompletionStage<AppendResult>> append;
    private final Supplier<String> recordIds;

    /**
     * @param controlExecutor runs tasks on the control thread
     * @param state replicated state; read only on the control thread
     * @param append appends a record to the log and completes with the result
     */
    public CatalogueAdmin(
            Executor controlExecutor,
            Supplier<ReplicatedState> state,
            Function<StateRecord, CompletionStage<AppendResult>> append,
            Supplier<String> recordIds) {
        this.controlExecutor = controlExecutor;
        this.state = state;
        this.append = append;
        this.recordIds = recordIds;
    }

    /** Returns the catalogue in force, or the requested version if the history still holds it. */
    CompletionStage<CatalogueYaml> read(Optional<Long> version) {
        return CompletableFuture.supplyAsync(() -> find(version), controlExecutor)
                .thenApply(found -> new CatalogueYaml(found.version(), CatalogueWriter.write(found)));
    }

    /**
     * Replaces the catalogue with an edited one. Completes with the new version once the change is accepted.
     *
     * @param baseVersion version that the file was edited from
     */
    public CompletionStage<Long> apply(String file, String yaml, long baseVersion, String operator) {
        CatalogueResult parsed = CatalogueReader.read(file, yaml);
        Catalogue replacement = parsed.catalogue()
                .orElseThrow(() -> error(ErrorCode.INVALID_CATALOGUE, Outcome.NOT_RUN, parsed.problemText()));
        return CompletableFuture.supplyAsync(() -> changes(replacement, baseVersion, operator), controlExecutor)
                .thenCompose(this::appendInOrder);
    }

    /** Takes a backend server out of service, or puts it back. */
    CompletionStage<Void> drain(String backendServer, boolean draining, String operator) {
        return append.apply(new DrainSet(recordIds.get(), backendServer, draining, operator))
                .thenAccept(CatalogueAdmin::requireAccepted);
    }

    private Catalogue find(Optional<Long> version) {
        Catalogue current = state.get().catalogue();
        if (version.isEmpty() || version.get() == current.version()) {
            return current;
        }
        return state.get()
                .history()
                .catalogueAt(version.get(), current)
                .orElseThrow(() -> error(
                        ErrorCode.INVALID_REQUEST,
                        Outcome.NOT_RUN,
                        "version " + version.get()
                                + " is no longer in the catalogue history; list the versions with the history"));
    }

    private List<CatalogueChange> changes(Catalogue replacement, long baseVersion, String operator) {
        Catalogue current = state.get().catalogue();
        if (current.version() != baseVersion) {
            throw error(
                    ErrorCode.VERSION_CONFLICT,
                    Outcome.NOT_RUN,
                    "the file was edited from version " + baseVersion + ", but version " + current.version()
                            + " is in force; get it, repeat the edit and apply again");
        }
        List<CatalogueChange> changes = CatalogueChanges.between(current, replacement, operator, recordIds);
        if (changes.isEmpty()) {
            throw error(
                    ErrorCode.INVALID_CATALOGUE,
                    Outcome.NOT_RUN,
                    "the file equals version " + current.version() + "; there is nothing to apply");
        }
        return changes;
    }

    /** Appends the records of a change that was split because of its size. Each record is accepted separately. */
    private CompletionStage<Long> appendInOrder(List<CatalogueChange> changes) {
        CompletionStage<Long> done = CompletableFuture.completedFuture(0L);
        for (CatalogueChange change : changes) {
            done = done.thenCompose(ignored -> append.apply(change)).thenApply(result -> {
                requireAccepted(result);
                return change.baseVersion() + 1;
            });
        }
        return done;
    }

    private static void requireAccepted(AppendResult result) {
        if (result.accepted()) {
            return;
        }
        Optional<Acceptance.Refusal> refusal = result.acceptance().flatMap(Acceptance::refusal);
        if (refusal.isPresent()) {
            throw error(refusal.get().code(), Outcome.NOT_RUN, refusal.get().message());
        }
        boolean notSent = result.status() == AppendResult.Status.NOT_SENT;
        throw error(
                ErrorCode.LOG_UNAVAILABLE,
                notSent ? Outcome.NOT_RUN : Outcome.UNKNOWN,
                notSent
                        ? "the log did not accept the record in time; the change does not take effect, try again later"
                        : "the record was sent to the log but not read back in time; check the catalogue version before"
                                + " trying again");
    }

    private static AgatehatchException error(ErrorCode code, Outcome outcome, String message) {
        return new AgatehatchException(code, "operate", "self", outcome, message);
    }

    record CatalogueYaml(long version, String yaml) {}
}
