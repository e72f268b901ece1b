package org.agatehatch.internal.request;

import java.util.ArrayList;
import java.util.List;
import org.agatehatch.api.fleet.ServerEntry;

/** Records the events of a {@link ServerAvailability}. */
final class AvailabilityEvents implements ServerAvailability.Listener {
    final List<String> events = new ArrayList<>();

    @Override
    public void onLeaving(ServerEntry server) {
        events.add("leaving " + server.processKey());
    }

    @Override
    public void onClosed(ServerEntry server, long durationMillis) {
        events.add("closed " + server.processKey() + " " + durationMillis);
    }
}
