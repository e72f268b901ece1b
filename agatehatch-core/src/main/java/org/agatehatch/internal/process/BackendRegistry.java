package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.fleet.ServerRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The registered backend servers. Runs on the control thread and publishes a {@link FleetView} after each change.
 *
 * <p>A server whose entry is deleted during or shortly after an outage of the store stays registered for a grace period,
 * because entries also expire when the servers can't renew them. The same holds for an entry that is missing after the store
 * came back from an older copy. Entries are compared by what their servers count, since such a copy holds older ones.
 */
public final class BackendRegistry implements TopicFollower.Listener {
    /**
     * Time after this node's first successful read within which a missing entry may have expired in an outage. Servers write
     * such entries again within 2 s of the store's recovery, and reads resume up to 0.6 s after the recovery.
     */
    static final long EXPIRY_GRACE_MILLIS = 1_400;

    /** Time after this node's first read of a restored store within which servers write missing entries again. */
    static final long RESTORE_GRACE_MILLIS = 2_000;

    /**
     * Time after which an entry that seems outdated is believed if it is still the newest one of its server: entries of servers
     * that are gone are removed after three of their intervals, in which the reads of a restored store succeed.
     */
    static final long DISPUTE_MILLIS = 6_000;

    /** Maximum number of servers whose last version is remembered, many times that of a deployment. */
    private static final int MAX_VERSIONS = 8_192;

    /** Is told of all entries, also of servers that leave again before the next view is published. */
    public interface Observer {
        /** Called when an entry is accepted. */
        void onEntry(ServerEntry entry);

        /** Called when servers may have come and gone unseen. */
        void onGap();
    }

    private static final Logger log = LoggerFactory.getLogger(BackendRegistry.class);

    /**
     * Position of an entry among those of its server.
     *
     * @param startedAtMillis start of the server's process; 0 if it is not known
     * @param renewals number of entries that the process has written before
     */
    private record Version(long startedAtMillis, long renewals) {
        private boolean isOlderThan(Version other) {
            if (startedAtMillis != other.startedAtMillis) {
                return startedAtMillis < other.startedAtMillis;
            }
            return startedAtMillis > 0 && renewals < other.renewals;
        }

        private boolean isSameAs(Version other) {
            return startedAtMillis > 0 && equals(other);
        }
    }

    private final ServerRecord.Decoder decoder;
    private final InputGuard guard = new InputGuard("server_entry");
    private final ControlThread control;
    private final LongSupplier sinceStoreRecoveryMillis;
    private final Observer observer;
    private final Consumer<FleetView> publisher;
    private final Map<String, ServerEntry> entries = new LinkedHashMap<>();
    private final Map<String, ControlThread.ScheduledTask> scheduledRemovals = new HashMap<>();

    /** Entries that seem outdated, and are the newest that were read of their servers. */
    private final Map<String, ServerRecord> disputed = new HashMap<>();

    /** Versions of the newest entries, also of servers that were removed. */
    private final Map<String, Version> versions = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Version> eldest) {
            return size() > MAX_VERSIONS;
        }
    };

    private int restoresInGrace;
    private boolean caughtUp;
    private boolean inBatch;
    private boolean publishPending;

    /**
     * Creates an empty registry.
     *
     * @param sinceStoreRecoveryMillis time since reads of the store succeeded again after a failure; 0 while they fail
     */
    public BackendRegistry(
            ServerRecord.Decoder decoder,
            ControlThread control,
            LongSupplier sinceStoreRecoveryMillis,
            Observer observer,
            Consumer<FleetView> publisher) {
        this.decoder = decoder;
        this.control = control;
        this.sinceStoreRecoveryMillis = sinceStoreRecoveryMillis;
        this.observer = observer;
        this.publisher = publisher;
    }

    @Override
    public void onValue(String key, byte[] value) {
        try {
            add(key, decoder.decode(key, value));
        } catch (IllegalArgumentException e) {
            guard.reportUnusable(key, e.getMessage());
        }
    }

    private void add(String key, ServerRecord decoded) {
        Version version = version(decoded);
        Version known = versions.get(key);
        boolean goneSince = known != null && !entries.containsKey(key) && version.isSameAs(known);
        if (goneSince || (known != null && version.isOlderThan(known))) {
            log.info("event=server_entry_ignored server={} reason=outdated read={} known={}", key, version, known);
            if (!goneSince && disputed.put(key, decoded) == null) {
                control.schedule(DISPUTE_MILLIS, () -> resolveDispute(key));
            }
            return;
        }
        disputed.remove(key);
        accept(key, decoded.entry(), version);
    }

    private static Version version(ServerRecord decoded) {
        return new Version(decoded.entry().startedAtMillis(), decoded.renewals());
    }

    /**
     * Believes a server that has gone on to write entries that seem older than a known one. The known one was then written by
     * somebody else.
     */
    private void resolveDispute(String key) {
        if (!disputed.containsKey(key)) {
            return;
        }
        if (sinceStoreRecoveryMillis.getAsLong() < DISPUTE_MILLIS) {
            control.schedule(DISPUTE_MILLIS, () -> resolveDispute(key));
            return;
        }
        ServerRecord newest = disputed.remove(key);
        log.warn(
                "event=server_entry_restored server={} believed={} dropped={}",
                key,
                version(newest),
                versions.get(key));
        accept(key, newest.entry(), version(newest));
    }

    private void accept(String key, ServerEntry entry, Version version) {
        ServerEntry before = entries.get(key);
        observer.onEntry(entry);
        versions.remove(key);
        versions.put(key, version);
        cancelScheduledRemoval(key);
        entries.put(key, entry);
        if (entry.equals(before)) {
            return;
        }
        if (caughtUp) {
            logChange(before, entry);
        }
        publish();
    }

    @Override
    public void onRemoved(String key) {
        disputed.remove(key);
        if (!entries.containsKey(key)) {
            observer.onGap();
            return;
        }
        long graceMillis =
                restoresInGrace > 0 ? RESTORE_GRACE_MILLIS : EXPIRY_GRACE_MILLIS - sinceStoreRecoveryMillis.getAsLong();
        if (graceMillis > 0) {
            scheduledRemovals.computeIfAbsent(key, id -> control.schedule(graceMillis, () -> remove(id, "lapsed")));
            return;
        }
        remove(key, "left");
    }

    @Override
    public void onHistoryMissing() {
        observer.onGap();
    }

    @Override
    public void onNewEra(long era) {
        observer.onGap();
        restoresInGrace++;
        control.schedule(RESTORE_GRACE_MILLIS, () -> restoresInGrace--);
    }

    @Override
    public void onBatch(Runnable changes) {
        inBatch = true;
        try {
            changes.run();
        } finally {
            inBatch = false;
            if (publishPending) {
                publish();
            }
        }
    }

    @Override
    public void onCaughtUp() {
        if (!caughtUp) {
            caughtUp = true;
            log.info("event=servers_known servers={}", entries.size());
        }
    }

    /** Returns whether the topic has been read up to its end at least once. */
    public boolean caughtUp() {
        return caughtUp;
    }

    /** Returns the entry of a server, including one that drains. */
    public Optional<ServerEntry> entry(String id) {
        return Optional.ofNullable(entries.get(id));
    }

    private void remove(String key, String reason) {
        cancelScheduledRemoval(key);
        if (entries.remove(key) != null) {
            log.info("event=server_gone server={} reason={}", key, reason);
            publish();
        }
    }

    private void cancelScheduledRemoval(String key) {
        ControlThread.ScheduledTask removal = scheduledRemovals.remove(key);
        if (removal != null) {
            removal.cancel();
        }
    }

    private static void logChange(ServerEntry before, ServerEntry entry) {
        boolean newProcess = before == null || !before.sameProcess(entry);
        if (newProcess || before.draining() != entry.draining()) {
            log.info(
                    "event=server_changed server={} service={} address={} domain={} draining={} new_process={}",
                    entry.id(),
                    entry.service(),
                    entry.address(),
                    entry.failureDomain(),
                    entry.draining(),
                    newProcess);
        } else if (log.isDebugEnabled()) {
            // The placement holder logs each order; at info level these lines would be most of the log on many nodes.
            log.debug("event=server_models server={} models={}", entry.id(), entry.models());
        }
    }

    /** Publishes a view of all servers; for changes that were read together, once at the end of the batch. */
    private void publish() {
        publishPending = inBatch;
        if (inBatch) {
            return;
        }
        Map<String, List<ServerEntry>> byService = new HashMap<>();
        for (ServerEntry entry : entries.values()) {
            if (!entry.draining()) {
                byService
                        .computeIfAbsent(entry.service(), service -> new ArrayList<>())
                        .add(entry);
            }
        }
        byService.replaceAll((service, servers) -> List.copyOf(servers));
        publisher.accept(new FleetView(byService));
    }
}
