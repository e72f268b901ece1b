package org.agatehatch.daemon.usage;

import static org.testng.Assert.assertEquals;

import java.net.URI;
import java.net.http.HttpResponse;
import org.agatehatch.daemon.endless.EndlessServer;
import org.agatehatch.daemon.endless.EndlessServer.Reply;
import org.agatehatch.standins.PlatformSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a plain service's answer without length or chunks that a crash cut short and that callers get as whole. */
public final class UnframedServiceAnswerUsageTest {
    private static final String ANSWER = "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\n\r\nthree chis";

    private Deployment deployment;
    private EndlessServer service;
    private volatile boolean crashes;

    @BeforeMethod
    public void start() {
        crashes = false;
        deployment = new Deployment(PlatformSettings.standard(2, 20).withService("order-desk", 1));
        deployment.startNode("node-1", "domain-a");
        String address = deployment.platform().addresses().services().get(0).address();
        service = new EndlessServer(request ->
                request.startsWith("POST /orders") ? new Reply.Ended(ANSWER, crashes) : new Reply.Relayed(address));
        String catalogue = Catalogues.standard(deployment.platform().addresses())
                .replace("\"" + address + "\"", "\"" + service.address() + "\"");
        Deployment.await(
                "the catalogue is accepted",
                () -> deployment.apply(0, catalogue, 0).statusCode() == 200);
        deployment.awaitServing("counter-8b");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        deployment.close();
        service.close();
    }

    private HttpResponse<String> order() {
        return deployment.post(URI.create(deployment.url(0) + "/services/orders/orders"), "{}");
    }

    @Test
    public void an_answer_whose_service_lives_on_is_delivered() {
        HttpResponse<String> response = order();
        assertEquals(response.statusCode(), 201, response.body());
        assertEquals(response.body(), "three chis");
    }

    @Test
    public void an_answer_whose_service_died_is_not_delivered_as_whole() {
        crashes = true;
        HttpResponse<String> response = order();
        assertEquals(response.statusCode(), 502, response.body());
        assertEquals(response.headers().firstValue("agatehatch-outcome").orElse(""), "unknown", response.body());
    }
}
