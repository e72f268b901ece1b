package org.agatehatch.standins.http;

/** Faults that every stand-in has. */
public interface CommonFaults {
    /** Returns whether requests are accepted but neither carried out nor answered until this is false again. */
    boolean frozen();

    /** Returns how long each answer is held back after its effect. */
    long answerDelayMillis();

    /** Returns {@code value} if it is not negative. */
    static long notNegative(String name, long value) {
        if (value < 0) {
            throw new IllegalArgumentException(name + " is " + value + "; it must not be negative");
        }
        return value;
    }
}
