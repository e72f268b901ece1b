package org.agatehatch.daemon.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import org.agatehatch.standins.PlatformSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a node that reports readiness, or rejects models as unknown, before a catalogue is in force. */
public final class FirstCatalogueUsageTest {
    private static final String MODEL = "counter-8b";
    private Deployment deployment;

    @BeforeMethod
    public void start() {
        deployment = new Deployment(PlatformSettings.standard(2, 20));
        deployment.startNode("node-1", "domain-a");
        Deployment.await("the log is read", () -> readiness().body().contains("no catalogue"));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        deployment.close();
    }

    @Test
    public void a_node_without_a_catalogue_is_not_ready_and_refuses_requests_as_not_run() {
        HttpResponse<String> response = deployment.complete(0, MODEL, "Which grit?", 1, false);

        assertEquals(readiness().statusCode(), 503);
        assertEquals(response.statusCode(), 503, response.body());
        assertEquals(response.headers().firstValue("Agatehatch-Outcome").orElse(""), "not_run");
        assertTrue(response.headers().firstValue("Retry-After").isPresent());
    }

    @Test
    public void the_first_catalogue_makes_the_node_ready() {
        String yaml = Catalogues.standard(deployment.platform().addresses());

        Deployment.await(
                "the catalogue is accepted", () -> deployment.apply(0, yaml, 0).statusCode() == 200);

        Deployment.await("readiness", () -> readiness().statusCode() == 200);
        deployment.awaitServing(MODEL);
    }

    private HttpResponse<String> readiness() {
        return deployment.get(deployment.url(0) + "/readyz");
    }
}
