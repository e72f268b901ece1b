package org.agatehatch.standins;

import java.util.ArrayList;
import java.util.List;
import org.agatehatch.standins.engine.EngineFaults;
import org.agatehatch.standins.engine.EngineSettings;
import org.agatehatch.standins.log.LogFaults;
import org.agatehatch.standins.service.ServiceFaults;
import org.agatehatch.standins.vmlist.VmListFaults;
import org.agatehatch.standins.weights.WeightStoreFaults;

/**
 * Which stand-ins a {@link Platform} starts, and with which faults.
 *
 * @param host loopback address on which all listen
 * @param basePort port of the log; the others follow in the order VM list, weight store, engines, services; 0 for
 *     ephemeral ports
 * @param timeScale how many times faster than real time engines, adapter loads and weight store run
 * @param engines engines to start; their own time scale is replaced
 * @param failureDomains failure domains over which engines and service servers are spread in turn
 * @param adapterLoadsAtFullSpeed adapter loads in flight over all engines beyond which each takes longer
 */
public record PlatformSettings(
        String host,
        int basePort,
        double timeScale,
        List<EngineSettings> engines,
        List<ServiceServer> services,
        List<String> failureDomains,
        int adapterLoadsAtFullSpeed,
        LogFaults log,
        VmListFaults vmList,
        WeightStoreFaults weightStore,
        EngineFaults engineFaults,
        ServiceFaults serviceFaults) {
    private static final int DEFAULT_ADAPTER_LOADS = 30;

    public PlatformSettings {
        engines = List.copyOf(engines);
        services = List.copyOf(services);
        failureDomains = List.copyOf(failureDomains);
        if (!(timeScale > 0)) {
            throw new IllegalArgumentException("time_scale is " + timeScale + "; it must be positive");
        }
        if (failureDomains.isEmpty()) {
            throw new IllegalArgumentException("failure_domains is empty; name at least one");
        }
    }

    /** One backend server of a plain service. */
    public record ServiceServer(String service, String name) {}

    /** Returns healthy stand-ins on ephemeral ports of 127.0.0.1: engines {@code runner-1} and so on, no services. */
    public static PlatformSettings standard(int engineCount, double timeScale) {
        List<EngineSettings> engines = new ArrayList<>();
        for (int number = 1; number <= engineCount; number++) {
            engines.add(EngineSettings.standard("runner-" + number));
        }
        return new PlatformSettings(
                "127.0.0.1",
                0,
                timeScale,
                engines,
                List.of(),
                List.of("domain-a", "domain-b"),
                DEFAULT_ADAPTER_LOADS,
                LogFaults.none(),
                VmListFaults.none(),
                WeightStoreFaults.none(),
                EngineFaults.none(),
                ServiceFaults.none());
    }

    /** Returns these settings with more servers of a plain service, named {@code <service>-1} and so on. */
    public PlatformSettings withService(String service, int servers) {
        List<ServiceServer> all = new ArrayList<>(services);
        for (int number = 1; number <= servers; number++) {
            all.add(new ServiceServer(service, service + "-" + number));
        }
        return new PlatformSettings(
                host,
                basePort,
                timeScale,
                engines,
                all,
                failureDomains,
                adapterLoadsAtFullSpeed,
                log,
                vmList,
                weightStore,
                engineFaults,
                serviceFaults);
    }

    /** Returns these settings with other engines. */
    public PlatformSettings withEngines(List<EngineSettings> newEngines) {
        return new PlatformSettings(
                host,
                basePort,
                timeScale,
                newEngines,
                services,
                failureDomains,
                adapterLoadsAtFullSpeed,
                log,
                vmList,
                weightStore,
                engineFaults,
                serviceFaults);
    }

    /** Returns these settings with another weight store. */
    public PlatformSettings withWeightStore(WeightStoreFaults newWeightStore) {
        return new PlatformSettings(
                host,
                basePort,
                timeScale,
                engines,
                services,
                failureDomains,
                adapterLoadsAtFullSpeed,
                log,
                vmList,
                newWeightStore,
                engineFaults,
                serviceFaults);
    }

    /** Returns these settings with other failure domains. */
    public PlatformSettings withFailureDomains(List<String> newFailureDomains) {
        return new PlatformSettings(
                host,
                basePort,
                timeScale,
                engines,
                services,
                newFailureDomains,
                adapterLoadsAtFullSpeed,
                log,
                vmList,
                weightStore,
                engineFaults,
                serviceFaults);
    }
}
