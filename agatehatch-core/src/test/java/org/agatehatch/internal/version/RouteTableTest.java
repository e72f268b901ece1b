package org.agatehatch.internal.version;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.agatehatch.api.fleet.ClientLimits;
import org.agatehatch.api.fleet.FleetConfig;
import org.agatehatch.api.fleet.RequestKind;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.api.fleet.WeightedService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests not routed by the longest prefix of their host, and against activating an older version. */
public final class RouteTableTest {
    private static RouteSpec route(String name, String host, String prefix) {
        return new RouteSpec(
                name,
                host,
                prefix,
                RequestKind.IDEMPOTENT,
                1_000,
                100,
                0,
                List.of(new WeightedService("s", 1)),
                1,
                false,
                0);
    }

    private static FleetConfig config(long version, RouteSpec... routes) {
        return new FleetConfig(version, List.of(routes), Map.of(), ClientLimits.INITIAL);
    }

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"a.example", "/x/1", "x"},
            {"A.Example:8080", "/x/1", "x"},
            {"a.example", "/x/y/1", "x-y"},
            {"a.example", "/x/y/", "x-y"},
            {"a.example", "/x/y", "x"},
            {"a.example", "/x/z/y/1?q=/x/y/", "x"},
            {"b.example", "/anything", "all"},
            {"a.example", "/x", "none"},
            {"a.example", "/", "none"},
            {"c.example", "/x/1", "none"},
            {"", "/x/1", "none"},
        };
    }

    @Test(dataProvider = "requests")
    public void the_longest_prefix_of_the_host_wins(String host, String target, String expected) {
        RouteTable table = new RouteTable(config(
                1, route("x", "a.example", "/x/"), route("x-y", "a.example", "/x/y/"), route("all", "b.example", "/")));
        assertEquals(table.find(host, target).map(RouteSpec::name).orElse("none"), expected);
    }

    @Test
    public void an_older_version_is_never_activated() {
        ActiveConfig active = new ActiveConfig();
        assertEquals(active.config().known(), false);
        active.updateIfNewer(config(5, route("new", "a.example", "/x/")));
        active.updateIfNewer(config(4, route("old", "a.example", "/x/")));
        active.updateIfNewer(config(5));
        assertEquals(active.config().version(), 5);
        assertEquals(
                active.routes().find("a.example", "/x/1").map(RouteSpec::name).orElse("none"), "new");
    }
}
