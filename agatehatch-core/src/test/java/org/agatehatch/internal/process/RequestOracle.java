package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Test oracle that checks the outcomes and answers which callers received against the runs that happened. It is independent
 * of claims, logs and attempts.
 */
final class RequestOracle {
    /** A request as its caller sees it; {@code key} is empty if the request may run more than once. */
    static final class Call {
        private final int id;
        private final String key;
        private final int payload;
        private final StringBuilder received = new StringBuilder();
        private String reportedOutcome = "nothing";

        Call(int id, String key, int payload) {
            this.id = id;
            this.key = key;
            this.payload = payload;
        }

        String key() {
            return key;
        }

        int payload() {
            return payload;
        }
    }

    private record Run(Call call, long atMillis) {}

    private final long windowMillis;
    private final List<Call> calls = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    RequestOracle(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    static String answerTo(int payload) {
        StringBuilder answer = new StringBuilder();
        for (int i = 0; i < framesOf(payload); i++) {
            answer.append(frame(payload, i));
        }
        return answer.toString();
    }

    static int framesOf(int payload) {
        return 2 + payload % 4;
    }

    static String frame(int payload, int index) {
        return "<" + payload + ":" + index + ">";
    }

    void recordCall(Call call) {
        calls.add(call);
    }

    void recordRun(Call call, long atMillis) {
        runs.add(new Run(call, atMillis));
    }

    void recordReceived(Call call, String data) {
        call.received.append(data);
    }

    void recordReportedOutcome(Call call, String outcome) {
        if (!call.reportedOutcome.equals("nothing")) {
            violations.add("call " + call.id + " was reported " + call.reportedOutcome + ", then " + outcome);
        }
        call.reportedOutcome = outcome;
    }

    /** Returns the number of callers to which an outcome was reported; {@code nothing} counts those without one. */
    long countReported(String outcome) {
        return calls.stream()
                .filter(call -> call.reportedOutcome.equals(outcome))
                .count();
    }

    /** Returns the violations found in all events recorded so far. */
    List<String> violations() {
        List<String> found = new ArrayList<>(violations);
        Map<String, Long> lastRunMillis = new HashMap<>();
        for (Run run : runs) {
            Long before = run.call.key.isEmpty() ? null : lastRunMillis.put(run.call.key, run.atMillis);
            if (before != null && run.atMillis - before < windowMillis) {
                found.add("key " + run.call.key + " ran twice, the second time for call " + run.call.id);
            }
            if (run.call.reportedOutcome.equals("not_run")) {
                found.add("call " + run.call.id + " was reported not_run but ran");
            }
        }
        for (Call call : calls) {
            String fullAnswer = answerTo(call.payload);
            if (!fullAnswer.startsWith(call.received.toString())) {
                found.add("call " + call.id + " received " + call.received + ", which is not a prefix of its answer "
                        + fullAnswer);
            }
            if (call.reportedOutcome.equals("ran")) {
                boolean ran = runs.stream()
                        .anyMatch(run -> run.call == call
                                || (!call.key.isEmpty()
                                        && run.call.key.equals(call.key)
                                        && run.call.payload == call.payload));
                if (!ran || !fullAnswer.contentEquals(call.received)) {
                    found.add("call " + call.id + " was reported ran; it ran: " + ran + ", received: " + call.received);
                }
            }
        }
        return found;
    }
}
