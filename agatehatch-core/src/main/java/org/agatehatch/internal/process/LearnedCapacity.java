package org.agatehatch.internal.process;

/**
 * What a node has learned from its answers of one server process since its last report.
 *
 * @param process key of the server's process
 * @param model model that a runner answered with; empty for a server without generation
 * @param kind what the value says
 * @param log logarithm of the answers' mean factor, or of their latency in milliseconds
 * @param answers number of answers
 * @param inFlight mean number of requests in flight at the server when they were sent
 * @param work what the answered requests took: milliseconds of work as expected for a usual runner, or requests
 */
public record LearnedCapacity(
        String service, String process, String model, Kind kind, double log, int answers, int inFlight, double work) {
    /** Kind of a learned value. */
    public enum Kind {
        /** Factor of the time that a model's prompt takes on this runner. */
        FIRST_EVENT,
        /** Nothing but the work: the time to the first event depended on other requests. */
        WORK,
        /** Factor of the time for a generation's output. */
        OUTPUT,
        /** Latency of a server without generation. */
        LATENCY
    }

    /** Returns a key of values that may be merged: those of one process, model and kind, at one number of requests in flight. */
    public String key() {
        return kind.ordinal() + "\n" + process + '\n' + model + '\n' + (kind == Kind.LATENCY ? inFlight : 0);
    }

    /** Returns the value of the answers of both; their keys must be equal. */
    public LearnedCapacity plus(LearnedCapacity other) {
        int sum = answers + other.answers;
        return new LearnedCapacity(
                service,
                process,
                model,
                kind,
                (log * answers + other.log * other.answers) / sum,
                sum,
                (inFlight * answers + other.inFlight * other.answers) / sum,
                work + other.work);
    }
}
