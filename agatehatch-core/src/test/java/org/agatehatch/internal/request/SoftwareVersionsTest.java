package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.internal.process.FleetView;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a version that is taken for the only one because this process has seen too little. */
public final class SoftwareVersionsTest {
    private long nowNanos;
    private SoftwareVersions versions;

    @BeforeMethod
    public void create() {
        nowNanos = 0;
        versions = new SoftwareVersions(() -> nowNanos);
    }

    private void observe(String... present) {
        List<ServerEntry> servers = Arrays.stream(present)
                .map(version -> new ServerEntry(
                        version,
                        "svc",
                        new PeerAddress("10.0.0.1", 80),
                        "d",
                        8,
                        false,
                        1,
                        version,
                        List.of(),
                        Set.of()))
                .toList();
        versions.observe(new FleetView(Map.of("svc", servers)));
    }

    private void advance(long millis) {
        nowNanos += millis * 1_000_000;
    }

    @Test
    public void a_version_is_the_only_one_after_it_was_observed_long_enough() {
        observe("v1");
        advance(9_000);
        assertEquals(versions.onlyVersion("svc", 10_000), Optional.empty());
        advance(1_000);
        assertEquals(versions.onlyVersion("svc", 10_000), Optional.of("v1"));
    }

    @Test
    public void a_version_that_left_counts_until_its_streams_must_have_ended() {
        observe("v1", "v2");
        advance(20_000);
        observe("v2");
        advance(9_000);
        assertEquals(versions.onlyVersion("svc", 10_000), Optional.empty());
        advance(1_001);
        assertEquals(versions.onlyVersion("svc", 10_000), Optional.of("v2"));
    }

    @Test
    public void a_service_without_servers_has_no_version() {
        observe("v1");
        advance(20_000);
        assertEquals(versions.onlyVersion("other", 10_000), Optional.empty());
    }
}
