package org.agatehatch.gateway.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.OptionalLong;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.api.fleet.TeamSpec;
import org.agatehatch.gateway.HeaderCodec;
import org.agatehatch.internal.request.QuotaAdmission;
import org.agatehatch.internal.version.RouteTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The team that one request belongs to by its API key, and what the request was charged of the team's quota. */
final class TeamAccess {
    private static final Logger log = LoggerFactory.getLogger(TeamAccess.class);

    /** Outcome of a request whose key was revoked before it was sent. */
    static final String REVOKED = "key_revoked";

    /** Answers a request that may not go on. */
    @FunctionalInterface
    interface Denial {
        void answer(HttpResponseStatus status, String reason, OptionalLong retryAfterMillis);
    }

    private final ExchangeContext context;
    private final HttpRequest head;
    private final RouteSpec route;
    private final Denial denial;
    private RouteTable checked;
    private Optional<TeamSpec> team = Optional.empty();
    private boolean removesCredential;
    private boolean publicRoute;
    private boolean revoked;
    private boolean deniedInTeamLog;
    private boolean ended;
    private QuotaAdmission.Charge charge = QuotaAdmission.Charge.NONE;

    /**
     * Creates the access of a request that has not been checked.
     *
     * @param routes the configuration that the request's route is from
     */
    TeamAccess(ExchangeContext context, HttpRequest head, RouteSpec route, RouteTable routes, Denial denial) {
        this.context = context;
        this.head = head;
        this.route = route;
        this.checked = routes;
        this.publicRoute = route.publicAccess();
        this.denial = denial;
    }

    /** Looks up the request's key when it arrives, and returns whether the request goes on. Otherwise it is answered. */
    boolean authenticate() {
        removesCredential = checked.apiKeys().required();
        if (!needsKey()) {
            return true;
        }
        HeaderCodec.Credential credential = context.headerCodec().readCredential(head);
        team = credential.key().flatMap(checked.apiKeys()::find);
        if (team.isPresent()) {
            context.teamLog().accepted(team.get().name());
            return true;
        }
        if (credential.key().isEmpty()) {
            reject(credential.present() ? "malformed" : "missing");
        } else if (context.configViewRecent().getAsBoolean()) {
            reject("unknown");
        } else {
            // Another node may know the key, and callers send nothing again after a 401.
            logRejection("stale_view");
            denial.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "key_not_known_yet", defaultRetryAfter());
        }
        return false;
    }

    private void reject(String reason) {
        logRejection(reason);
        denial.answer(HttpResponseStatus.UNAUTHORIZED, "key_rejected", OptionalLong.empty());
    }

    private void logRejection(String reason) {
        deniedInTeamLog = true;
        context.teamLog().keyRejected(reason, route.name());
    }

    private OptionalLong defaultRetryAfter() {
        return OptionalLong.of(context.timeouts().modelLoadRetryAfterMillis());
    }

    /**
     * Returns whether the request may be sent under the configuration in force, in which its key may have been revoked. A request
     * that arrived before the configuration had teams, or before its route stopped being public, needs a key too from then on, but
     * is not charged.
     */
    boolean stillAllowed() {
        RouteTable current = context.config().routes();
        if (current == checked || revoked) {
            return !revoked;
        }
        checked = current;
        // A route that is gone keeps its last terms: its removal says nothing about keys.
        publicRoute = current.find(head.headers().get(HttpHeaderNames.HOST, ""), head.uri())
                .orElse(route)
                .publicAccess();
        // Also after the last team is gone: the key was meant for this system.
        removesCredential = removesCredential || current.apiKeys().required();
        if (!needsKey()) {
            team = Optional.empty();
            return true;
        }
        Optional<TeamSpec> found =
                context.headerCodec().readCredential(head).key().flatMap(current.apiKeys()::find);
        boolean same = found.isPresent()
                && (team.isEmpty() || team.get().name().equals(found.get().name()));
        if (same) {
            team = found;
        } else {
            revoked = true;
            context.teamLog().keyRejected("revoked", route.name());
        }
        return same;
    }

    private boolean needsKey() {
        return checked.apiKeys().required() && !publicRoute;
    }

    /**
     * Charges the request to its team's quota, and goes on if there is enough of it. Otherwise the request is answered.
     *
     * @param onFault ends the request if going on fails with an exception after an answer about the quota
     */
    void admit(Optional<GenerationRequest> generation, Runnable onAdmitted, Runnable onFault) {
        if (team.isEmpty() || !team.get().quota().limited()) {
            onAdmitted.run();
            return;
        }
        TeamSpec charged = team.get();
        context.quotaAdmission()
                .admit(charged, charged.quota().cost(generation))
                .whenComplete(
                        (admission, failure) -> onAdmission(charged.name(), admission, failure, onAdmitted, onFault));
    }

    private void onAdmission(
            String teamName,
            QuotaAdmission.Admission admission,
            Throwable failure,
            Runnable onAdmitted,
            Runnable onFault) {
        if (failure == null && admission.granted()) {
            if (ended) {
                admission.charge().refund();
                return;
            }
            charge = admission.charge();
            try {
                onAdmitted.run();
            } catch (RuntimeException e) {
                // The stage of the answer would keep the exception, and the caller would wait until its deadline.
                log.error("event=request_fault team={} route={}", teamName, route.name(), e);
                onFault.run();
            }
        } else if (ended) {
            log.debug("event=quota_answer_unused team={}", teamName);
        } else if (failure == null) {
            deniedInTeamLog = true;
            context.teamLog().quotaRefused(teamName, route.name(), admission.retryAfterMillis());
            denial.answer(HttpResponseStatus.TOO_MANY_REQUESTS, "quota", OptionalLong.of(admission.retryAfterMillis()));
        } else {
            log.error("event=quota_undecided team={}", teamName, failure);
            denial.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "quota_undecided", defaultRetryAfter());
        }
    }

    /**
     * Gives back what the request was charged if it did not run and never will. Called once, when the request ends.
     *
     * @param neverRan whether no server ran the request or may still run it
     */
    void onRequestEnd(boolean neverRan) {
        ended = true;
        if (neverRan) {
            charge.refund();
        }
    }

    /** Returns the rank of the request among those queued at a runner. */
    int urgency() {
        return Urgency.of(route, team, checked.teamPriorities());
    }

    /** Returns whether the request's key was found to be revoked. */
    boolean revoked() {
        return revoked;
    }

    /** Returns whether the request was denied on arrival, which the team log reports with a limit on its lines. */
    boolean deniedInTeamLog() {
        return deniedInTeamLog;
    }

    /** Returns whether the caller's credential is kept from servers. */
    boolean removesCredential() {
        return removesCredential;
    }

    /** Returns the name of the team; empty if there is none. */
    String teamName() {
        return team.map(TeamSpec::name).orElse("");
    }
}
