package org.agatehatch.gateway.process;

import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.agatehatch.api.fleet.FleetConfig;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.TopicFollower;
import org.agatehatch.internal.version.ActiveConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings the configuration's newest record into force, whether the store, a relay or another node sent it. */
final class ConfigUpdates implements TopicFollower.Listener {
    private static final Logger log = LoggerFactory.getLogger(ConfigUpdates.class);

    /** Key under which a record is processed that another node sent. */
    private static final String PEER_RECORD_KEY = "config";

    private final BiFunction<String, byte[], Optional<FleetConfig>> decoder;
    private final ActiveConfig config;
    private final Consumer<byte[]> acceptedRecords;
    private final LongConsumer eras;
    private final MonotonicClock clock;

    /**
     * Creates a listener.
     *
     * @param acceptedRecords receives the record of each version that came into force
     * @param eras receives each new era of the store
     */
    ConfigUpdates(
            BiFunction<String, byte[], Optional<FleetConfig>> decoder,
            ActiveConfig config,
            Consumer<byte[]> acceptedRecords,
            LongConsumer eras,
            MonotonicClock clock) {
        this.decoder = decoder;
        this.config = config;
        this.acceptedRecords = acceptedRecords;
        this.eras = eras;
        this.clock = clock;
    }

    /** Processes a configuration record that another node sent. */
    void onPeerRecord(byte[] record) {
        onValue(PEER_RECORD_KEY, record);
    }

    @Override
    public void onValue(String key, byte[] value) {
        long startNanos = clock.nanos();
        try {
            boolean accepted =
                    decoder.apply(key, value).map(config::updateIfNewer).orElse(false);
            if (accepted) {
                log.info(
                        "event=config_applied version={} bytes={} took_ms={}",
                        config.config().version(),
                        value.length,
                        (clock.nanos() - startNanos) / 1_000_000);
                acceptedRecords.accept(value);
            }
        } catch (IllegalArgumentException e) {
            log.error("event=config_unreadable key={} cause=\"{}\"", key, e.getMessage());
        }
    }

    @Override
    public void onNewEra(long era) {
        eras.accept(era);
    }
}
