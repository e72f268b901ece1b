package org.agatehatch.gateway.request;

import java.util.List;
import org.agatehatch.api.fleet.PromptPart;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the log lines of one exchange and its attempts. */
final class ExchangeLog {
    private static final Logger log = LoggerFactory.getLogger(ExchangeLog.class);

    private final Exchange exchange;

    ExchangeLog(Exchange exchange) {
        this.exchange = exchange;
    }

    void ended(Attempt attempt, String end, String cause) {
        log.info(
                "event=attempt id={} service={} server={} choice=\"{}\" predicted_ms={} first_ms={} took_ms={} connection={} end={} cause=\"{}\"",
                exchange.metadata().attemptId(),
                exchange.service(),
                attempt.server().id(),
                attempt.choice().reason(),
                Math.round(attempt.choice().predictedMillis()),
                attempt.firstByteMillis(),
                attempt.elapsedMillis(),
                attempt.connectionOrigin(),
                end,
                cause);
    }

    /** Logs what may have crashed the server: requests that crash servers can be told from others by what they share. */
    void broken(Attempt attempt) {
        log.info(
                "event=attempt_broken id={} process={} received={} first_ms={} took_ms={} request_hash={} prompt_parts={}",
                exchange.metadata().attemptId(),
                attempt.server().processKey(),
                attempt.answerProgress(),
                attempt.firstByteMillis(),
                attempt.elapsedMillis(),
                Long.toHexString(exchange.crashes().fingerprint()),
                exchange.metadata()
                        .generation()
                        .map(generation ->
                                generation.parts().stream().map(PromptPart::id).toList())
                        .orElse(List.of()));
    }

    void silent(Attempt attempt, long quietMillis, String next) {
        log.info(
                "event=attempt_silent id={} service={} server={} quiet_ms={} answer_begun={} remaining_ms={} next=\"{}\"",
                exchange.metadata().attemptId(),
                exchange.service(),
                attempt.server().id(),
                quietMillis,
                exchange.relay().started(),
                exchange.remainingMillis(),
                next);
    }

    /** Logs the end of the exchange, which may have come before its route was known. */
    void requestEnded(
            String outcome,
            int status,
            long configVersion,
            int sends,
            boolean mayHaveRun,
            long readMillis,
            long tookMillis) {
        log.info(
                "event=request_ended id={} route={} service={} config={} status={} outcome=\"{}\" sends={} may_have_run={} read_ms={} took_ms={}",
                exchange.metadata() == null ? "-" : exchange.metadata().attemptId(),
                exchange.route() == null ? "-" : exchange.route().name(),
                exchange.service(),
                configVersion,
                status,
                outcome,
                sends,
                mayHaveRun,
                readMillis,
                tookMillis);
    }
}
