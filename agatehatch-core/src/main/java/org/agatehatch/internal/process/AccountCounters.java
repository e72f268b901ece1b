package org.agatehatch.internal.process;

/**
 * Cumulative usage of one owner, counted from 0 during one incarnation of a node.
 *
 * @param requests requests of the owner's callers that were answered
 * @param acceleratorMillisGiven accelerator time that requests of all owners used on this owner's runners
 * @param acceleratorMillisTaken accelerator time that this owner's requests used on the runners of all owners
 */
public record AccountCounters(
        long requests, long promptTokens, long outputTokens, long acceleratorMillisGiven, long acceleratorMillisTaken) {
    /** All counters at 0. */
    public static final AccountCounters ZERO = new AccountCounters(0, 0, 0, 0, 0);

    public AccountCounters {
        boolean negative = requests < 0
                || promptTokens < 0
                || outputTokens < 0
                || acceleratorMillisGiven < 0
                || acceleratorMillisTaken < 0;
        if (negative) {
            throw new IllegalArgumentException("account counters must not be negative");
        }
    }

    /** Returns the sum of both; fails with an {@link ArithmeticException} on overflow. */
    public AccountCounters plus(AccountCounters other) {
        return new AccountCounters(
                Math.addExact(requests, other.requests),
                Math.addExact(promptTokens, other.promptTokens),
                Math.addExact(outputTokens, other.outputTokens),
                Math.addExact(acceleratorMillisGiven, other.acceleratorMillisGiven),
                Math.addExact(acceleratorMillisTaken, other.acceleratorMillisTaken));
    }
}
