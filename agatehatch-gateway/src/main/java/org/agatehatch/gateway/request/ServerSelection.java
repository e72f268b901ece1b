package org.agatehatch.gateway.request;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.agatehatch.internal.request.RequestPacer;
import org.agatehatch.internal.request.ServerChoice;

/**
 * Selects the backend server for an attempt of one request. A server that names a limit is selected only with a permit. Another
 * server is preferred to a wait for one; if there is none, the request waits for a while. Runs on the traffic thread.
 */
final class ServerSelection {
    /** A request waits for a permit for at most this fraction of its remaining time, since its answer takes time too. */
    private static final int WAIT_DIVISOR = 4;

    private final ExchangeContext context;
    private final long arrivedNanos;
    private final Function<Set<String>, ServerChoice> chooser;
    private final LongSupplier remainingMillis;
    private final Set<String> unpermittedServerIds = new HashSet<>();
    private boolean selected;
    private boolean waits;
    private long retryAfterMillis;

    /**
     * Creates the selection for a request.
     *
     * @param arrivedNanos when the request's head was complete
     * @param chooser chooses a server that is not among the given ids
     * @param remainingMillis time until the request's deadline
     */
    ServerSelection(
            ExchangeContext context,
            long arrivedNanos,
            Function<Set<String>, ServerChoice> chooser,
            LongSupplier remainingMillis) {
        this.context = context;
        this.arrivedNanos = arrivedNanos;
        this.chooser = chooser;
        this.remainingMillis = remainingMillis;
    }

    /** Passes on the choice once the request may be sent to the chosen server, or cannot be sent. */
    void select(Consumer<ServerChoice> listener) {
        unpermittedServerIds.clear();
        waits = false;
        if (!selected) {
            selected = true;
            context.metrics()
                    .requestDecided(
                            TimeUnit.NANOSECONDS.toMillis(context.clock().nanos() - arrivedNanos));
        }
        choose(listener);
    }

    /** Returns a choice among the servers that name no limit. */
    ServerChoice selectUnlimited() {
        Set<String> limitedServerIds = new HashSet<>();
        ServerChoice choice = chooser.apply(limitedServerIds);
        while (choice instanceof ServerChoice.Chosen chosen && isLimited(chosen)) {
            limitedServerIds.add(chosen.server().id());
            choice = chooser.apply(limitedServerIds);
        }
        return choice;
    }

    private boolean isLimited(ServerChoice.Chosen chosen) {
        return context.serverLimits().perSecond(chosen.server().processKey()).isPresent();
    }

    private void choose(Consumer<ServerChoice> listener) {
        ServerChoice choice = chooser.apply(unpermittedServerIds);
        if (choice instanceof ServerChoice.Chosen chosen && isLimited(chosen)) {
            requestPermit(chosen, listener);
        } else if (choice instanceof ServerChoice.Chosen || unpermittedServerIds.isEmpty()) {
            listener.accept(choice);
        } else if (waits) {
            listener.accept(new ServerChoice.Unavailable(
                    "server_limit servers=" + unpermittedServerIds.size(), retryAfterMillis));
        } else {
            waits = true;
            unpermittedServerIds.clear();
            choose(listener);
        }
    }

    private void requestPermit(ServerChoice.Chosen chosen, Consumer<ServerChoice> listener) {
        String process = chosen.server().processKey();
        long maxDelayMillis = waits
                ? Math.min(context.timeouts().maxPermitWaitMillis(), remainingMillis.getAsLong() / WAIT_DIVISOR)
                : 0;
        context.permitRequester()
                .request(process, context.serverLimits().perSecond(process).orElseThrow(), maxDelayMillis)
                .thenAccept(permit -> onPermit(chosen, permit, listener));
    }

    private void onPermit(ServerChoice.Chosen chosen, RequestPacer.Permit permit, Consumer<ServerChoice> listener) {
        if (!permit.granted()) {
            boolean first = unpermittedServerIds.isEmpty();
            retryAfterMillis = first ? permit.delayMillis() : Math.min(retryAfterMillis, permit.delayMillis());
            unpermittedServerIds.add(chosen.server().id());
            choose(listener);
        } else if (permit.delayMillis() == 0) {
            listener.accept(chosen);
        } else {
            context.loop().schedule(() -> listener.accept(chosen), permit.delayMillis(), TimeUnit.MILLISECONDS);
        }
    }
}
