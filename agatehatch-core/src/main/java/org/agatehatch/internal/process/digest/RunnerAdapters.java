package org.agatehatch.internal.process.digest;

import java.util.Set;

/** Adapters that are resident on a runner. */
public record RunnerAdapters(Set<String> names) {
    /** No adapters, or none known. */
    public static final RunnerAdapters NONE = new RunnerAdapters(Set.of());

    public RunnerAdapters {
        names = Set.copyOf(names);
    }
}
