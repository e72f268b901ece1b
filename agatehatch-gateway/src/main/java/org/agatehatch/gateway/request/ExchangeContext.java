package org.agatehatch.gateway.request;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.HeaderCodec;
import org.agatehatch.gateway.links.ServerConnector;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.internal.process.DemandMeter;
import org.agatehatch.internal.request.QuotaAdmission;
import org.agatehatch.internal.request.ServerAvailability;
import org.agatehatch.internal.request.ServerChooser;
import org.agatehatch.internal.request.ServerLimits;
import org.agatehatch.internal.request.SoftwareVersions;
import org.agatehatch.internal.request.StreamOrigins;
import org.agatehatch.internal.request.WindowedRetryBudget;
import org.agatehatch.internal.version.ActiveConfig;

/**
 * Objects shared by all exchanges of a process.
 *
 * @param serverViewAsOf whether this node knows all backend servers that the store knew at a time of the clock, in nanoseconds
 * @param configViewRecent whether this node has heard of the configuration in force recently enough to call a key or a route unknown
 * @param life how long this process goes on serving
 */
public record ExchangeContext(
        EventLoop loop,
        MonotonicClock clock,
        RandomGenerator random,
        HeaderCodec headerCodec,
        ActiveConfig config,
        ServerChooser chooser,
        ServerConnector connector,
        WindowedRetryBudget retryBudget,
        ResidencyRequester residencyRequester,
        DemandMeter demandMeter,
        CrashAttribution crashes,
        ServerProbe serverProbe,
        ServerLimits serverLimits,
        ServerAvailability availability,
        PermitRequester permitRequester,
        StreamOrigins streamOrigins,
        SoftwareVersions softwareVersions,
        PeerVersions versionsSeenByPeers,
        PeerProcesses processesSeenByPeers,
        LongPredicate serverViewAsOf,
        BooleanSupplier configViewRecent,
        QuotaAdmission quotaAdmission,
        TeamLog teamLog,
        ProcessLife life,
        ResponseMemory responseMemory,
        GatewayMetrics metrics,
        ExchangeTimeouts timeouts) {
    /** Above the age that the view of a node reaches between two reads of the store. */
    private static final long LATE_VIEW_MILLIS = 1_200;

    /**
     * Returns whether other nodes know the servers better than this one, which does not reach the store or reads it through a
     * relay.
     */
    boolean serverViewIsLate() {
        return !serverViewAsOf.test(clock.nanos() - TimeUnit.MILLISECONDS.toNanos(LATE_VIEW_MILLIS));
    }
}
