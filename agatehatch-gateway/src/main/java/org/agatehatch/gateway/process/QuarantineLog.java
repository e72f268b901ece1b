package org.agatehatch.gateway.process;

import java.util.Set;
import java.util.function.IntSupplier;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.internal.process.CrashingPartDetector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts the prompt parts that are refused because they crash runners. */
final class QuarantineLog implements CrashingPartDetector.Listener {
    private static final Logger log = LoggerFactory.getLogger(QuarantineLog.class);

    private final GatewayMetrics metrics;
    private final IntSupplier quarantinedParts;

    QuarantineLog(GatewayMetrics metrics, IntSupplier quarantinedParts) {
        this.metrics = metrics;
        this.quarantinedParts = quarantinedParts;
    }

    @Override
    public void onQuarantine(String part, Set<String> processes) {
        metrics.partsQuarantined(quarantinedParts.getAsInt());
        log.warn("event=prompt_part_quarantined part={} crashed={}", part, processes);
    }

    @Override
    public void onRelease(String part) {
        metrics.partsQuarantined(quarantinedParts.getAsInt());
        log.info("event=prompt_part_released part={}", part);
    }
}
