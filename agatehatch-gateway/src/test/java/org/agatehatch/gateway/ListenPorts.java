package org.agatehatch.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for listeners that start later, and again after each stop. They lie below the range from which the system takes the ports of
 * outgoing connections (from 32,768 on), since such a connection would keep a listener from starting. Test processes that run
 * side by side begin at different ports.
 */
final class ListenPorts {
    private static final int FIRST_PORT = 10_000;
    private static final int PORTS_PER_PROCESS = 200;
    private static final int PROCESSES = 50;

    private static final AtomicInteger NEXT = new AtomicInteger(
            FIRST_PORT + PORTS_PER_PROCESS * (int) (ProcessHandle.current().pid() % PROCESSES));

    private ListenPorts() {}

    /** Returns a port that is free at all the given addresses. */
    static int next(List<String> hosts) {
        while (true) {
            int offset = (NEXT.getAndIncrement() - FIRST_PORT) % (PORTS_PER_PROCESS * PROCESSES);
            int port = FIRST_PORT + offset;
            if (hosts.stream().allMatch(host -> isFree(host, port))) {
                return port;
            }
        }
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
