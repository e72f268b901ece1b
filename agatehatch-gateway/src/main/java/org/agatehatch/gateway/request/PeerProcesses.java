package org.agatehatch.gateway.request;

import java.util.Optional;
import org.agatehatch.internal.process.StreamOriginMessages.ServerProcess;

/** What nodes that read the store tell of the processes of servers. */
@FunctionalInterface
public interface PeerProcesses {
    /**
     * Returns the process that a server's entry named at a time or later, if another node has told it. Otherwise the other nodes are
     * asked, so that a later call may have a result.
     *
     * @param nanos a time of the clock
     */
    Optional<ServerProcess> asOf(String service, String serverId, long nanos);
}
