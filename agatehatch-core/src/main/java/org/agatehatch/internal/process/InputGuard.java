package org.agatehatch.internal.process;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the processing of single inputs, so that an unexpected exception or error costs the input that caused it and no other.
 * Inputs that are read again and again are reported once for each cause. Thread-safe.
 */
public final class InputGuard {
    private static final Logger log = LoggerFactory.getLogger(InputGuard.class);

    /** Maximum number of reports that are remembered; a forgotten one is logged again. */
    private static final int MAX_REPORTS = 1_024;

    private final String source;
    private final Map<String, Boolean> reported = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_REPORTS;
        }
    };

    /**
     * Creates a guard.
     *
     * @param source where the inputs come from, for the log
     */
    public InputGuard(String source) {
        this.source = source;
    }

    /**
     * Processes an input.
     *
     * @param name name of the input, for the log
     * @return whether the processing ended normally
     */
    public boolean run(String name, Runnable processing) {
        try {
            processing.run();
            return true;
        } catch (RuntimeException | Error e) {
            if (isNew(name, e.toString())) {
                log.error("event=input_failed source={} input={}; it is skipped", source, name, e);
            }
            return false;
        }
    }

    /** Reports an input that cannot be used, unless the same was reported before. */
    public void reportUnusable(String name, String cause) {
        if (isNew(name, cause)) {
            log.warn("event=input_unusable source={} input={} cause=\"{}\"", source, name, cause);
        }
    }

    private synchronized boolean isNew(String name, String cause) {
        return reported.put(name + '\n' + cause, true) == null;
    }
}
