package org.agatehatch.gateway.connection;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Accounts for the memory and the descriptors that all callers' connections of a node hold together, and chooses which connections
 * are closed when either is used up. Runs on the traffic thread.
 */
public final class CallerMemory {
    /** Why a request was refused or a connection was closed. */
    public enum Reason {
        /** The account is full, and this connection had made no progress for the longest time or held the most. */
        EVICTED,
        /** The account is full, and no other connection may be closed. */
        NO_MEMORY,
        /** The account is short, and the caller sent or read too slowly. */
        TOO_SLOW,
        /**
         * All descriptors for callers are used, and this connection was opened beyond them, or had made no progress for the longest
         * time.
         */
        NO_DESCRIPTOR
    }

    /** How much of the account is used. */
    public enum State {
        CALM,
        /** More than half is used; limits on the progress of callers apply. */
        SHORT,
        /** A charge was refused, or a connection was closed to make room. */
        FULL
    }

    /** Receives what operators should know. */
    public interface Listener {
        /** Called when a request is refused or a connection is closed. */
        void onRefusal(Reason reason);

        /** Called when the state changes; returns to {@link State#CALM} only below a quarter of the limit. */
        void onState(State state, long usedBytes, int connections);

        /** Called when new connections at a port begin to wait in the system's queue. */
        void onAcceptPaused(int connections, int maxConnections);
    }

    /** A connection as this account sees it. */
    interface Holder {
        /** Returns whether a request of the connection is being served. Such a connection is never closed. */
        boolean isServing();

        /** Returns whether the connection holds part of a request or unread output. */
        boolean isPartial();

        /** Returns whether the connection has had a request answered. */
        boolean hasBeenServed();

        /** Returns the time of the last byte that was received from or sent to the caller. */
        long lastProgressNanos();

        /** Releases what the connection holds, and closes it. */
        void evict(Reason reason);
    }

    /** What a connection is charged. */
    final class Account {
        private final Holder holder;
        private long bytes;

        private Account(Holder holder) {
            this.holder = holder;
        }

        /** Changes the charge, and closes other connections if it does not fit. Returns false, without a change, if it never fits. */
        boolean tryCharge(long newBytes) {
            long extra = newBytes - bytes;
            if (extra > 0 && !makeRoom(extra, Optional.of(this))) {
                return false;
            }
            charge(newBytes);
            return true;
        }

        /** Changes the charge for memory that is held already, and closes other connections if it exceeds the limit. */
        void charge(long newBytes) {
            if (!accounts.contains(this)) {
                return;
            }
            usedBytes += newBytes - bytes;
            bytes = newBytes;
            if (usedBytes > settings.limitBytes()) {
                makeRoom(0, Optional.of(this));
            }
            updateState();
        }

        void close() {
            if (accounts.remove(this)) {
                usedBytes -= bytes;
                bytes = 0;
                updateState();
            }
        }
    }

    /**
     * Limits of a node.
     *
     * @param limitBytes limit of the memory that callers' connections hold
     * @param maxConnections number of callers' connections at all ports
     */
    public record Settings(long limitBytes, int maxConnections) {
        private static final long HEAP_SHARE = 4;

        /** Descriptors that stay free for links, the store, runners, and {@link #MIN_CONNECTIONS_A_PORT}. */
        private static final int RESERVED_DESCRIPTORS = 64;

        /** Each caller may need a connection to a server besides its own. */
        private static final int DESCRIPTORS_A_CALLER = 2;

        private static final int MIN_CONNECTIONS = 16;

        public Settings {
            if (limitBytes <= 0 || maxConnections <= 0) {
                throw new IllegalArgumentException("the limits of callers must be positive, not " + limitBytes
                        + " bytes and " + maxConnections + " connections");
            }
        }

        /** Returns a quarter of the heap, and half of the descriptors that this process may still open. */
        public static Settings ofProcess() {
            return ofProcess(OptionalLong.empty());
        }

        /**
         * Returns a quarter of the heap, and half of the descriptors that this process may still open.
         *
         * @param maxDescriptors limit that the platform names for the process. Where it does, the limit of the operating system is
         *     not asked: it may not apply to connections.
         */
        public static Settings ofProcess(OptionalLong maxDescriptors) {
            long free = ProcessDescriptors.free(maxDescriptors) - RESERVED_DESCRIPTORS;
            long connections = Math.max(MIN_CONNECTIONS, free / DESCRIPTORS_A_CALLER);
            return new Settings(
                    Runtime.getRuntime().maxMemory() / HEAP_SHARE, (int) Math.min(connections, Integer.MAX_VALUE));
        }
    }

    /** Connections that each port accepts even if all are used, so that readiness checks reach a node that is flooded elsewhere. */
    static final int MIN_CONNECTIONS_A_PORT = 8;

    /** Connections beyond the limit whose requests are refused, so that their callers do not wait. Taken from the reserve. */
    static final int REFUSED_CONNECTIONS = 16;

    /** A connection that has made progress more recently is closed for memory only after the others. */
    static final long STALL_MILLIS = 1_000;

    /** Callers send their first request at once; this covers a round trip. */
    static final long FIRST_REQUEST_MILLIS = 250;

    private final Settings settings;
    private final MonotonicClock clock;
    private final Listener listener;
    private final Set<Account> accounts = new LinkedHashSet<>();
    private State state = State.CALM;
    private long usedBytes;
    private boolean makingRoom;

    public CallerMemory(Settings settings, MonotonicClock clock, Listener listener) {
        this.settings = settings;
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns an account with the limits of this process that reports to nobody. */
    static CallerMemory ofProcess(MonotonicClock clock) {
        return new CallerMemory(Settings.ofProcess(), clock, new Listener() {
            @Override
            public void onRefusal(Reason reason) {}

            @Override
            public void onState(State state, long usedBytes, int connections) {}

            @Override
            public void onAcceptPaused(int connections, int maxConnections) {}
        });
    }

    Account open(Holder holder) {
        Account account = new Account(holder);
        accounts.add(account);
        return account;
    }

    /** Returns whether more than half of the memory is used, so that limits on the progress of callers apply. */
    boolean isShort() {
        return usedBytes > settings.limitBytes() / 2;
    }

    /**
     * Returns whether another connection may be accepted, after closing one that has made no progress if all are used.
     *
     * @param openAtPort connections that the port has
     */
    boolean mayAccept(int openAtPort) {
        if (openAtPort < MIN_CONNECTIONS_A_PORT) {
            return true;
        }
        if (accounts.size() < settings.maxConnections()) {
            return makeRoom(0, Optional.empty());
        }
        // Callers that were served before may send their next request at any time; strangers that send nothing go
        // first.
        Comparator<Account> order = Comparator.<Account, Boolean>comparing(account -> account.holder.hasBeenServed())
                .thenComparing(account -> account.holder.lastProgressNanos());
        Optional<Account> oldest = accounts.stream()
                .filter(account -> !account.holder.isServing())
                .filter(account ->
                        isSilent(account, account.holder.hasBeenServed() ? STALL_MILLIS : FIRST_REQUEST_MILLIS))
                .min(order);
        oldest.ifPresent(account -> evict(account, Reason.NO_DESCRIPTOR));
        return accounts.size() < settings.maxConnections() + REFUSED_CONNECTIONS;
    }

    /** Returns whether more connections are open than may be served. */
    boolean hasTooManyConnections() {
        return accounts.size() > settings.maxConnections();
    }

    void acceptPaused() {
        listener.onAcceptPaused(accounts.size(), settings.maxConnections());
    }

    void refused(Reason reason) {
        listener.onRefusal(reason);
    }

    long usedBytes() {
        return usedBytes;
    }

    private boolean isStalled(Account account) {
        return isSilent(account, STALL_MILLIS);
    }

    private boolean isSilent(Account account, long millis) {
        return clock.nanos() - account.holder.lastProgressNanos() > TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private boolean makeRoom(long extra, Optional<Account> forAccount) {
        if (makingRoom) {
            // An eviction writes a refusal, whose charge must not start another round.
            return usedBytes + extra <= settings.limitBytes();
        }
        makingRoom = true;
        try {
            while (usedBytes + extra > settings.limitBytes()) {
                Optional<Account> next = nextToEvict(forAccount);
                if (next.isEmpty()) {
                    reachState(State.FULL);
                    return false;
                }
                evict(next.orElseThrow(), Reason.EVICTED);
            }
            return true;
        } finally {
            makingRoom = false;
        }
    }

    /** Stalled connections go first, then those that only hold their own memory, at last those that are still active. */
    private Optional<Account> nextToEvict(Optional<Account> except) {
        Predicate<Account> mayClose =
                account -> !except.equals(Optional.of(account)) && !account.holder.isServing() && account.bytes > 0;
        Predicate<Account> partial = account -> account.holder.isPartial();
        Comparator<Account> bySize = Comparator.comparingLong(account -> account.bytes);
        return accounts.stream()
                .filter(mayClose.and(partial).and(this::isStalled))
                .max(bySize)
                .or(() -> accounts.stream().filter(mayClose.and(partial)).max(bySize))
                .or(() -> accounts.stream()
                        .filter(mayClose)
                        .min(Comparator.comparingLong(account -> account.holder.lastProgressNanos())));
    }

    private void evict(Account account, Reason reason) {
        long before = account.bytes;
        account.holder.evict(reason);
        listener.onRefusal(reason);
        if (account.bytes >= before) {
            // Whatever the holder did, the loop of evictions must come to an end.
            account.close();
        }
        if (reason == Reason.EVICTED) {
            reachState(State.FULL);
        }
    }

    private void updateState() {
        if (usedBytes < settings.limitBytes() / 4) {
            reachState(State.CALM);
        } else if (isShort() && state == State.CALM) {
            reachState(State.SHORT);
        }
    }

    private void reachState(State reached) {
        if (state != reached) {
            state = reached;
            listener.onState(reached, usedBytes, accounts.size());
        }
    }
}
