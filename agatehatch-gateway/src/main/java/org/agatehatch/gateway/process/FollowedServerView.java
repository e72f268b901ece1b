package org.agatehatch.gateway.process;

import java.util.Optional;
import org.agatehatch.internal.process.StreamOriginMessages.ProcessQuestion;
import org.agatehatch.internal.process.StreamOriginMessages.ServerProcess;
import org.agatehatch.internal.process.StreamOriginMessages.VersionQuestion;
import org.agatehatch.internal.process.TopicFollower;
import org.agatehatch.internal.request.ServerChooser;
import org.agatehatch.internal.request.SoftwareVersions;

/** What this node knows of the backend servers from following their entries. */
record FollowedServerView(TopicFollower servers, ServerChooser chooser, SoftwareVersions softwareVersions)
        implements ServerViewExchange.OwnView {
    @Override
    public boolean readSince(long nanos) {
        return servers.isCurrentAsOf(nanos);
    }

    @Override
    public Optional<ServerProcess> process(ProcessQuestion server) {
        return chooser.entry(server.service(), server.serverId())
                .map(entry -> new ServerProcess(entry.startedAtMillis(), entry.softwareVersion()));
    }

    @Override
    public Optional<String> onlyVersion(VersionQuestion service) {
        return softwareVersions.onlyVersion(service.service(), service.spanMillis());
    }
}
