package org.agatehatch.daemon.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.agatehatch.standins.PlatformSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests one node end to end over HTTP. Guards against parts that work alone but fail together. */
public final class NodeUsageTest {
    private static final int TOKENS = 200;
    private Deployment deployment;
    private String yaml;

    @BeforeClass
    public void start() {
        deployment = new Deployment(PlatformSettings.standard(2, 20).withService("order-desk", 2));
        deployment.startNode("node-1", "domain-a");
        yaml = Catalogues.standard(deployment.platform().addresses());
        Deployment.await(
                "the first catalogue is accepted",
                () -> deployment.apply(0, yaml, 0).statusCode() == 200);
        deployment.awaitServing("counter-8b");
        deployment.awaitServing("tutor-70b");
    }

    @AfterClass
    public void stop() {
        deployment.close();
    }

    @Test
    public void a_stream_of_200_tokens_arrives_complete_and_ends_with_done() {
        HttpResponse<String> response = deployment.complete(0, "counter-8b", "Which grit?", TOKENS, true);

        assertEquals(response.statusCode(), 200);
        assertEquals(Answers.tokens(response.body()), Answers.expected("counter-8b", "Which grit?", TOKENS));
        assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
    }

    @Test
    public void a_non_streamed_answer_has_the_same_text() {
        HttpResponse<String> response = deployment.complete(0, "counter-8b-chisels", "Which grit?", TOKENS, false);

        assertEquals(response.statusCode(), 200);
        assertEquals(response.headers().firstValue("Agatehatch-Outcome").orElse(""), "ran");
        assertTrue(response.body().contains(Answers.expected("counter-8b-chisels", "Which grit?", TOKENS)));
    }

    @Test
    public void a_repeated_key_gets_the_stored_answer_and_does_not_run_again() {
        URI uri = URI.create(deployment.url(0) + "/services/orders/orders");
        Deployment.await(
                "claims",
                () -> deployment
                                .post(uri, "{}", "Idempotency-Key", "\"warm-up\"")
                                .statusCode()
                        == 201);
        HttpResponse<String> first = deployment.post(uri, "{\"chisels\":3}", "Idempotency-Key", "\"k1\"");
        HttpResponse<String> second = deployment.post(uri, "{\"chisels\":3}", "Idempotency-Key", "\"k1\"");
        HttpResponse<String> other = deployment.post(uri, "{\"chisels\":4}", "Idempotency-Key", "\"k1\"");

        assertEquals(first.statusCode(), 201);
        assertEquals(second.statusCode(), 201);
        assertEquals(second.body(), first.body());
        assertEquals(second.headers().firstValue("Agatehatch-Replayed").orElse(""), "true");
        assertEquals(other.statusCode(), 422);
    }

    @Test
    public void a_new_model_answers_without_a_restart_and_a_stale_edit_is_refused() {
        String edited = Catalogues.withModel(yaml, "history-14b");
        long version = Answers.version(deployment);

        assertEquals(deployment.apply(0, edited, version).statusCode(), 200);
        deployment.awaitServing("history-14b");
        HttpResponse<String> stale = deployment.apply(0, yaml, version);

        assertEquals(stale.statusCode(), 409);
        assertTrue(stale.body().contains("edited from version " + version), stale.body());
        assertTrue(stale.body().contains("version " + (version + 1)), stale.body());
    }

    @Test(dependsOnMethods = "a_new_model_answers_without_a_restart_and_a_stale_edit_is_refused")
    public void a_removed_model_is_unloaded_and_no_longer_answers() {
        assertEquals(deployment.apply(0, yaml, Answers.version(deployment)).statusCode(), 200);

        assertEquals(deployment.complete(0, "history-14b", "hello", 1, false).statusCode(), 404);
        Deployment.await(
                "the removed model is unloaded",
                () -> deployment.platform().engines().stream()
                        .flatMap(engine -> engine.inventory().models().stream())
                        .noneMatch(model -> model.model().equals("history-14b")));
    }

    @Test
    public void a_catalogue_that_cannot_stay_resident_is_refused_with_the_reason() {
        String huge = yaml.replace(
                "memory_mib: 20480, accelerators: 1, replicas: 1", "memory_mib: 90000, accelerators: 1, replicas: 1");

        HttpResponse<String> response = deployment.apply(0, huge, Answers.version(deployment));

        assertEquals(response.statusCode(), 422);
        assertTrue(response.body().contains("tutor-70b"), response.body());
    }

    @DataProvider
    public Object[][] badRequests() {
        return new Object[][] {
            {"{\"model\":5", 400, "invalid_request"},
            {"[]", 400, "invalid_request"},
            {"{\"model\":\"counter-8b\"}", 400, "invalid_request"},
            {"{\"model\":\"counter-8b\",\"n\":2,\"messages\":[{\"role\":\"user\"}]}", 400, "invalid_request"},
            {"{\"model\":\"nobody\",\"messages\":[{\"role\":\"user\"}]}", 404, "model_not_found"},
            {"[".repeat(10_000), 400, "invalid_request"},
            {"{\"model\":\"" + "x".repeat(70_000) + "\"}", 413, "request_too_large"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void a_bad_request_gets_a_clear_error_and_did_not_run(String body, int status, String code) {
        HttpResponse<String> response = deployment.post(URI.create(deployment.url(0) + "/v1/chat/completions"), body);

        assertEquals(response.statusCode(), status, response.body());
        assertTrue(response.body().contains("\"code\":\"" + code + "\""), response.body());
        assertEquals(response.headers().firstValue("Agatehatch-Outcome").orElse(""), "not_run");
    }

    @Test
    public void malformed_http_on_one_connection_does_not_affect_other_requests() throws Exception {
        URI uri = URI.create(deployment.url(0));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), uri.getPort())) {
            OutputStream output = socket.getOutputStream();
            output.write("NONSENSE / HTTP/9.9\r\n\0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            output.flush();
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertFalse(answer.startsWith("HTTP/1.1 200"), answer);
        }
        assertEquals(deployment.complete(0, "counter-8b", "hello", 1, false).statusCode(), 200);
    }

    @Test
    public void metrics_health_and_entry_nodes_answer() {
        assertTrue(deployment.get(deployment.url(0) + "/metrics").body().contains("agatehatch_requests_total"));
        assertEquals(deployment.get(deployment.url(0) + "/healthz").statusCode(), 200);
        assertEquals(deployment.get(deployment.url(0) + "/readyz").statusCode(), 200);
        Deployment.await(
                "the node is in the list of entry nodes",
                () -> deployment
                        .get(deployment.url(0) + "/v1/entry-nodes?failure_domain=domain-a")
                        .body()
                        .contains(deployment.node(0).info().callerAddress()));
    }
}
