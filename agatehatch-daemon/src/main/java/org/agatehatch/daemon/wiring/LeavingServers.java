package org.agatehatch.daemon.wiring;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.daemon.platform.VmListClient.Vm;
import org.agatehatch.daemon.traffic.PoolDispatchers;
import org.agatehatch.internal.connection.LeavingSource;
import org.agatehatch.internal.process.RendezvousHash;
import org.agatehatch.internal.process.digest.DigestEntry;
import org.agatehatch.internal.process.digest.DigestKind;
import org.agatehatch.internal.process.digest.DigestPayloads;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks backend servers that are leaving, according to the VM list or because they refused a request as leaving. A
 * refusal holds until the server's process is replaced. Methods run on the control thread, except {@link #onRefusal}
 * and {@link #names}.
 */
final class LeavingServers {
    private static final Logger log = LoggerFactory.getLogger(LeavingServers.class);
    private static final String SEPARATOR = "\n";

    private final NodeContext context;
    private final PeerNetwork peers;
    private final RunnerLoadPoller polling;
    private final Map<String, String> refusedEpochByServer = new ConcurrentHashMap<>();
    private final Set<String> all = ConcurrentHashMap.newKeySet();
    private Set<String> leavingOnVmList = Set.of();
    private PoolDispatchers pools;

    LeavingServers(NodeContext context, PeerNetwork peers, RunnerLoadPoller polling) {
        this.context = context;
        this.peers = peers;
        this.polling = polling;
    }

    void attach(PoolDispatchers trafficPools) {
        this.pools = trafficPools;
    }

    /** Returns a live, thread-safe view of the names of the leaving servers. */
    Set<String> names() {
        return all;
    }

    /** Marks a backend server that refused a request because it is leaving; may be called on any thread. */
    void onRefusal(BackendServer server) {
        pools.setLeaving(server, LeavingSource.SERVER, true);
        String epoch = polling.lastEpoch(server.name());
        if (refusedEpochByServer.put(server.name(), epoch) == null) {
            log.info("backend server leaving: server={} source=refusal epoch={}", server.name(), epoch);
            byte[] payload = DigestPayloads.encode(server.name() + SEPARATOR + epoch);
            context.control()
                    .execute(() -> peers.publish(DigestKind.LEAVING, RendezvousHash.hash(server.name()), payload));
        }
        all.add(server.name());
    }

    /** Merges a refusal that another node published in the digest. */
    void onEntry(DigestEntry entry, Catalogue catalogue) {
        String[] parts = DigestPayloads.decodeText(entry.payload()).split(SEPARATOR, -1);
        BackendServer server = catalogue.backendServers().get(parts[0]);
        if (server != null && parts.length > 1 && refusedEpochByServer.putIfAbsent(parts[0], parts[1]) == null) {
            log.info("backend server leaving: server={} source=peer epoch={}", parts[0], parts[1]);
            pools.setLeaving(server, LeavingSource.SERVER, true);
            all.add(parts[0]);
        }
    }

    /** Applies the leaving states of the VM list. */
    void onVmList(List<Vm> vms, Catalogue catalogue) {
        Set<String> listed = new HashSet<>();
        for (Vm vm : vms) {
            if (vm.kind().equals("backend_server") && vm.state().equals("leaving")) {
                listed.add(vm.name());
            }
        }
        for (BackendServer server : catalogue.backendServers().values()) {
            boolean now = listed.contains(server.name());
            if (now != leavingOnVmList.contains(server.name())) {
                log.info("backend server leaving: server={} source=vm_list leaving={}", server.name(), now);
                pools.setLeaving(server, LeavingSource.VM_LIST, now);
            }
        }
        leavingOnVmList = listed;
        updateNames();
    }

    /** Removes refusals of processes that were replaced and of servers that left the catalogue. */
    void tick(Catalogue catalogue) {
        refusedEpochByServer.entrySet().removeIf(entry -> {
            String present = polling.lastEpoch(entry.getKey());
            BackendServer server = catalogue.backendServers().get(entry.getKey());
            boolean replaced = server == null || (!present.isEmpty() && !present.equals(entry.getValue()));
            if (replaced && server != null) {
                pools.setLeaving(server, LeavingSource.SERVER, false);
            }
            return replaced;
        });
        updateNames();
    }

    private void updateNames() {
        Set<String> next = new HashSet<>(refusedEpochByServer.keySet());
        next.addAll(leavingOnVmList);
        all.retainAll(next);
        all.addAll(next);
    }
}
