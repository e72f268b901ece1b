package org.agatehatch.daemon.settings;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

/**
 * Describes one setting.
 *
 * @param flag long flag without dashes, for example {@code listen-port}
 * @param argument name of the flag's argument in the help text; empty for a switch
 * @param defaultText value if neither flag nor variable is given; empty if the setting is required
 * @param allowed description of the allowed values for help and error messages
 * @param parse converts the text and throws {@link IllegalArgumentException} for a bad value
 * @param secret whether {@code --print-settings} and error messages mask the value
 */
record Setting<T>(
        String flag,
        String argument,
        Optional<String> defaultText,
        String allowed,
        String description,
        Function<String, T> parse,
        boolean secret) {
    /** Returns the environment variable, for example {@code AGATEHATCH_LISTEN_PORT}. */
    String variable() {
        return "AGATEHATCH_" + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
