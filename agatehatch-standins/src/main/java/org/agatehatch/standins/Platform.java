package org.agatehatch.standins;

import java.net.http.HttpClient;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.standins.engine.AdapterLoads;
import org.agatehatch.standins.engine.EngineSettings;
import org.agatehatch.standins.engine.EngineStandIn;
import org.agatehatch.standins.log.LogStandIn;
import org.agatehatch.standins.service.PlainServiceStandIn;
import org.agatehatch.standins.vmlist.Vm;
import org.agatehatch.standins.vmlist.VmListStandIn;
import org.agatehatch.standins.weights.HttpWeightLoader;
import org.agatehatch.standins.weights.WeightLoader;
import org.agatehatch.standins.weights.WeightStoreStandIn;
import org.apache.pekko.actor.ClassicActorSystemProvider;

/**
 * All stand-ins of one platform in this process. The VM list holds the engines and service servers from the start; nodes
 * are added with {@link VmListStandIn#edit}.
 *
 * <pre>{@code
 * try (Platform platform = Platform.start(system, PlatformSettings.standard(2, 20).withService("order-desk", 2))) {
 *     use(platform.addresses().log());
 *     platform.engines().get(0).faults().merge("{\"leaving\":true}");
 * }
 * }</pre>
 */
public final class Platform implements AutoCloseable {
    private final PlatformSettings settings;
    private final Deque<AutoCloseable> open = new ArrayDeque<>();
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<PlainServiceStandIn> services = new ArrayList<>();
    private final AdapterLoads adapterLoads;
    private final LogStandIn log;
    private final VmListStandIn vmList;
    private final WeightStoreStandIn weightStore;
    private int startedListeners;
    private int placedServers;

    private Platform(ClassicActorSystemProvider system, PlatformSettings settings, MonotonicClock clock) {
        this.settings = settings;
        this.adapterLoads = new AdapterLoads(settings.adapterLoadsAtFullSpeed());
        try {
            log = opened(new LogStandIn(system, settings.host(), nextPort(), settings.log(), clock));
            vmList = opened(new VmListStandIn(system, settings.host(), nextPort(), settings.vmList(), clock));
            weightStore = opened(new WeightStoreStandIn(
                    system, settings.host(), nextPort(), settings.timeScale(), settings.weightStore(), clock));
            startEngines(system, clock);
            startServices(system);
        } catch (RuntimeException e) {
            close();
            throw e;
        }
    }

    /** Starts all stand-ins; fails with {@code INVALID_SETTING} if a port cannot be bound. */
    public static Platform start(ClassicActorSystemProvider system, PlatformSettings settings) {
        return new Platform(system, settings, MonotonicClock.system());
    }

    /** Returns the log. */
    public LogStandIn log() {
        return log;
    }

    /** Returns the VM list. */
    public VmListStandIn vmList() {
        return vmList;
    }

    /** Returns the weight store. */
    public WeightStoreStandIn weightStore() {
        return weightStore;
    }

    /** Returns the engines in the order of the settings. */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /** Returns the servers of plain services in the order of the settings. */
    public List<PlainServiceStandIn> services() {
        return List.copyOf(services);
    }

    /** Returns the counter of adapter loads over all engines. */
    public AdapterLoads adapterLoads() {
        return adapterLoads;
    }

    /** Returns where the stand-ins listen. */
    public PlatformAddresses addresses() {
        List<PlatformAddresses.Server> engineServers = new ArrayList<>();
        List<PlatformAddresses.Server> serviceServers = new ArrayList<>();
        int place = 0;
        for (EngineStandIn engine : engines) {
            engineServers.add(
                    new PlatformAddresses.Server(engine.name(), "", engine.hostAndPort(), failureDomain(place++)));
        }
        for (PlainServiceStandIn server : services) {
            serviceServers.add(new PlatformAddresses.Server(
                    server.name(), server.service(), server.hostAndPort(), failureDomain(place++)));
        }
        return new PlatformAddresses(
                log.baseUri(), vmList.baseUri(), weightStore.baseUri(), engineServers, serviceServers);
    }

    /** Stops all stand-ins; the actor system stays. */
    @Override
    public void close() {
        while (!open.isEmpty()) {
            try {
                open.removeLast().close();
            } catch (Exception e) {
                throw new IllegalStateException("a stand-in could not be stopped", e);
            }
        }
    }

    private void startEngines(ClassicActorSystemProvider system, MonotonicClock clock) {
        WeightLoader loader = new HttpWeightLoader(HttpClient.newHttpClient(), weightStore.baseUri());
        for (EngineSettings engine : settings.engines()) {
            EngineSettings scaled = engine.withSpeed(engine.speed().withTimeScale(settings.timeScale()));
            EngineStandIn started = opened(new EngineStandIn(
                    system, settings.host(), nextPort(), scaled, settings.engineFaults(), adapterLoads, loader, clock));
            engines.add(started);
            listVm(started.name(), started.hostAndPort());
        }
    }

    private void startServices(ClassicActorSystemProvider system) {
        for (PlatformSettings.ServiceServer server : settings.services()) {
            PlainServiceStandIn started = opened(new PlainServiceStandIn(
                    system, server.service(), server.name(), settings.host(), nextPort(), settings.serviceFaults()));
            services.add(started);
            listVm(started.name(), started.hostAndPort());
        }
    }

    private void listVm(String name, String address) {
        vmList.edit(List.of(Vm.liveBackendServer(name, address, failureDomain(placedServers++))), List.of());
    }

    private String failureDomain(int place) {
        return settings.failureDomains().get(place % settings.failureDomains().size());
    }

    private int nextPort() {
        return settings.basePort() == 0 ? 0 : settings.basePort() + startedListeners++;
    }

    private <T extends AutoCloseable> T opened(T standIn) {
        open.addLast(standIn);
        return standIn;
    }
}
