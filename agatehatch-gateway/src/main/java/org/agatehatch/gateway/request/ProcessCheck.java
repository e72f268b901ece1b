package org.agatehatch.gateway.request;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.internal.process.StreamOriginMessages.ServerProcess;

/**
 * Checks that a server's entry still described the process at its address at a given time. A server may start again under its id
 * and at its address, and nothing on a connection or in an answer names its process; only its entry in the store does. Runs on the
 * traffic thread.
 */
final class ProcessCheck {
    /** Time within which a process that has begun to listen writes its entry. */
    static final long REGISTRATION_MILLIS = 200;

    /** Above the registration time plus the interval of 0.8 s in which a node reads the entries. */
    private static final long MAX_WAIT_MILLIS = 1_500;

    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final ExchangeContext context;

    ProcessCheck(ExchangeContext context) {
        this.context = context;
    }

    /**
     * Passes on whether the server's entry, as of the given time, meets a condition, from within this call or later. The result is
     * false if this node learns of no recent entry in time.
     *
     * @param atNanos a time of the clock at which the server's process listened
     */
    void check(ServerEntry server, long atNanos, Predicate<ServerEntry> condition, Consumer<Boolean> listener) {
        check(server, atNanos, condition, context.clock().millis() + MAX_WAIT_MILLIS, listener);
    }

    private void check(
            ServerEntry server,
            long atNanos,
            Predicate<ServerEntry> condition,
            long untilMillis,
            Consumer<Boolean> listener) {
        Optional<ServerEntry> entry = context.chooser().entry(server.service(), server.id());
        long registeredNanos = atNanos + TimeUnit.MILLISECONDS.toNanos(REGISTRATION_MILLIS);
        boolean recent = context.serverViewAsOf().test(registeredNanos);
        boolean met = entry.filter(condition).isPresent();
        if (recent || entry.isPresent() && !met || context.clock().millis() >= untilMillis) {
            listener.accept(recent && met);
            return;
        }
        Optional<ServerProcess> told = processToldByPeers(server, registeredNanos);
        if (told.isPresent()) {
            listener.accept(condition.test(withProcess(server, told.get())));
            return;
        }
        context.loop()
                .schedule(
                        () -> check(server, atNanos, condition, untilMillis, listener),
                        CHECK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private Optional<ServerProcess> processToldByPeers(ServerEntry server, long registeredNanos) {
        return context.serverViewIsLate() && context.clock().nanos() - registeredNanos >= 0
                ? context.processesSeenByPeers().asOf(server.service(), server.id(), registeredNanos)
                : Optional.empty();
    }

    private static ServerEntry withProcess(ServerEntry server, ServerProcess process) {
        return new ServerEntry(
                server.id(),
                server.service(),
                server.address(),
                server.failureDomain(),
                server.slots(),
                server.draining(),
                process.startedAtMillis(),
                process.softwareVersion(),
                server.models(),
                server.locallyCachedModels());
    }
}
