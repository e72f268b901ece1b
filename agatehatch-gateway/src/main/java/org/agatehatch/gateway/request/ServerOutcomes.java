package org.agatehatch.gateway.request;

import org.agatehatch.internal.request.AttemptEnd;

/** Records what the ends of an exchange's attempts say about their servers. */
final class ServerOutcomes {
    private final Exchange exchange;

    ServerOutcomes(Exchange exchange) {
        this.exchange = exchange;
    }

    /** Records the end of an attempt, and returns whether its server stays a candidate for the request. */
    boolean record(Attempt attempt, AttemptEnd end) {
        ExchangeContext context = exchange.context();
        boolean serverFailed = end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.BROKEN;
        if (serverFailed && !attempt.wasSilent()) {
            context.chooser().failed(exchange.service(), attempt.server().id());
        }
        if (end == AttemptEnd.NOT_CONNECTED && attempt.connectRefused()) {
            context.crashes().processDied(attempt.server().processKey());
        }
        if (end == AttemptEnd.BROKEN) {
            context.metrics().attemptBroken(attempt.answerProgress());
            exchange.crashes().connectionBroken(attempt);
        }
        boolean notResident = end == AttemptEnd.MISDIRECTED
                && exchange.metadata().generation().isPresent();
        if (notResident) {
            // The server may hold the model once it is loaded.
            context.chooser()
                    .markNotResident(
                            attempt.server(), exchange.metadata().generation().get());
        }
        // The chooser leaves a closed or leaving server out for as long as that holds.
        boolean keptAway =
                end == AttemptEnd.WITHDRAWN && !context.availability().maySend(attempt.server());
        return notResident || keptAway || attempt.closedServer();
    }
}
