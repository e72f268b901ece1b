package org.agatehatch.gateway.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.internal.process.CrashingPartDetector;
import org.agatehatch.internal.process.PoisonRequestDetector;

/** Attributes crashes of backend servers to requests and to the parts of their prompts. Runs on the traffic thread. */
public final class CrashAttribution {
    private final PoisonRequestDetector requests;
    private final CrashingPartDetector parts;
    private final ServerProbe probe;
    private final Set<String> probedProcesses = new HashSet<>();

    public CrashAttribution(PoisonRequestDetector requests, CrashingPartDetector parts, ServerProbe probe) {
        this.requests = requests;
        this.parts = parts;
        this.probe = probe;
    }

    /**
     * Records that the connection of an attempt broke, and finds out whether its server still listens. Otherwise the crash
     * would be confirmed only by the next request to the server, or when its entry lapses.
     *
     * @param suspectedParts shared parts of the prompt; empty if the server survived the beginning of the answer
     */
    void connectionBroken(long fingerprint, List<String> suspectedParts, ServerEntry server) {
        requests.connectionBroken(fingerprint, server.processKey());
        parts.connectionBroken(
                suspectedParts, server.processKey(), server.address().toString());
        if (!suspectedParts.isEmpty() && probedProcesses.add(server.processKey())) {
            probe.probe(server, result -> {
                probedProcesses.remove(server.processKey());
                if (result == ServerProbe.Result.REFUSES) {
                    processDied(server.processKey());
                }
            });
        }
    }

    /** Records that a server's process has died. */
    public void processDied(String process) {
        requests.processDied(process);
        parts.processDied(process);
    }

    /** Records a complete answer. */
    void requestAnswered(long fingerprint) {
        requests.requestAnswered(fingerprint);
    }

    /** Records that a server survived the beginning of an answer. */
    void answerSurvived(List<String> sharedParts, long begunMillis) {
        parts.answerSurvived(sharedParts, begunMillis);
    }

    /** Returns whether a request is quarantined as a whole. */
    boolean isQuarantined(long fingerprint) {
        return requests.isQuarantined(fingerprint);
    }

    /** Returns a quarantined part of a request's prompt; empty if the request may be sent. */
    Optional<String> blockingPart(List<String> sharedParts) {
        return sharedParts.isEmpty() ? Optional.empty() : parts.blockingPart(sharedParts);
    }
}
