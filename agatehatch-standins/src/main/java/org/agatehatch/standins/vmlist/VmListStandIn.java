package org.agatehatch.standins.vmlist;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.standins.http.Call;
import org.agatehatch.standins.http.FaultBox;
import org.agatehatch.standins.http.HttpListener;
import org.agatehatch.standins.http.Json;
import org.agatehatch.standins.http.Responses;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Serves the lagging list of virtual machines over HTTP. */
public final class VmListStandIn implements AutoCloseable {
    private static final String NAME = "vm-list";
    /** Versions of the list that are kept, so that a long lag with many changes cannot fill the memory. */
    private static final int MAX_VERSIONS = 10_000;

    private final Deque<Version> versions = new ArrayDeque<>();
    private final MonotonicClock clock;
    private final FaultBox<VmListFaults> faults;
    private final HttpListener listener;

    public VmListStandIn(
            ClassicActorSystemProvider system,
            String host,
            int port,
            VmListFaults initialFaults,
            MonotonicClock clock) {
        this.clock = clock;
        this.faults = new FaultBox<>(VmListFaults.class, initialFaults);
        versions.add(new Version(Long.MIN_VALUE, List.of()));
        this.listener = new HttpListener(system, NAME, host, port, faults, this::handle).start();
    }

    private record Version(long sinceMillis, List<Vm> vms) {}

    /** Body of {@code POST /vms}. */
    record Edit(List<Vm> upserts, List<String> removals) {
        Edit {
            upserts = upserts == null ? List.of() : List.copyOf(upserts);
            removals = removals == null ? List.of() : List.copyOf(removals);
        }
    }

    /** Returns the base address. */
    public String baseUri() {
        return listener.baseUri();
    }

    /** Returns the faults in force, to read or change. */
    public FaultBox<VmListFaults> faults() {
        return faults;
    }

    /** Adds or replaces VMs by name, then removes others; returns the new list. */
    public synchronized List<Vm> edit(List<Vm> upserts, List<String> removals) {
        Map<String, Vm> byName = new TreeMap<>();
        versions.getLast().vms.forEach(vm -> byName.put(vm.name(), vm));
        upserts.forEach(vm -> byName.put(vm.name(), vm));
        removals.forEach(byName::remove);
        List<Vm> vms = List.copyOf(byName.values());
        versions.addLast(new Version(clock.millis(), vms));
        if (versions.size() > MAX_VERSIONS) {
            versions.removeFirst();
        }
        return vms;
    }

    @Override
    public void close() {
        listener.close();
    }

    private CompletionStage<HttpResponse> handle(Call call) {
        return Responses.now(
                switch (call.target()) {
                    case "GET /vms" -> faults.get().outage() ? outage() : Responses.ok(Map.of("vms", lagging()));
                    case "POST /vms" -> {
                        Edit edit = Json.read(call.body(), Edit.class);
                        yield Responses.ok(Map.of("vms", edit(edit.upserts, edit.removals)));
                    }
                    default -> Responses.notFound(call, NAME);
                });
    }

    private synchronized List<Vm> lagging() {
        long asOf = clock.millis() - faults.get().lagMillis();
        List<Vm> vms = versions.getFirst().vms;
        for (Version version : versions) {
            if (version.sinceMillis > asOf) {
                break;
            }
            vms = version.vms;
        }
        return vms;
    }

    private static HttpResponse outage() {
        return Responses.refusal(503, "vm_list_outage", "list", NAME, "the VM list is down; try again later");
    }
}
