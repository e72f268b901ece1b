package org.agatehatch.gateway.process;

import java.util.Arrays;
import java.util.function.BiPredicate;
import org.agatehatch.api.fleet.ServerRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether two records describe the same server. Ignores renewals: a server rewrites its record many times a minute
 * without changing its content.
 */
record SameServerCheck(ServerRecord.Decoder decoder) implements BiPredicate<byte[], byte[]> {
    private static final Logger log = LoggerFactory.getLogger(SameServerCheck.class);

    @Override
    public boolean test(byte[] before, byte[] after) {
        try {
            return decoder.decode("", before)
                    .entry()
                    .equals(decoder.decode("", after).entry());
        } catch (IllegalArgumentException e) {
            log.debug("a record names no usable server", e);
            return Arrays.equals(before, after);
        }
    }
}
