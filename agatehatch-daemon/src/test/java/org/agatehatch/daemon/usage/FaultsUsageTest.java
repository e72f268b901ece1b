package org.agatehatch.daemon.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatehatch.standins.PlatformSettings;
import org.agatehatch.standins.engine.EngineStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against wrong, truncated or repeated answers when engines, services or the log of the platform fail. */
public final class FaultsUsageTest {
    private static final String MODEL = "counter-8b";
    private Deployment deployment;

    @BeforeMethod
    public void start() {
        deployment = new Deployment(PlatformSettings.standard(3, 20).withService("order-desk", 2));
        deployment.startNode("node-1", "domain-a");
        String yaml = Catalogues.standard(deployment.platform().addresses());
        Deployment.await(
                "the catalogue is accepted", () -> deployment.apply(0, yaml, 0).statusCode() == 200);
        deployment.awaitServing(MODEL);
        Deployment.await("the model has two replicas", () -> replicas() == 2);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        deployment.close();
    }

    @DataProvider
    public Object[][] streamFaults() {
        return new Object[][] {
            {"{\"cut_streams\":{\"next\":1,\"fraction\":0},\"cut_after_tokens\":20}"},
            {"{\"cut_streams\":{\"next\":1,\"fraction\":0},\"cut_after_tokens\":20,\"cut_with_reset\":true}"},
            {"{\"crossed_frames\":{\"next\":0,\"fraction\":0.3}}"},
            {"{\"late_frames\":{\"next\":0,\"fraction\":0.3}}"},
            {"{\"skipped_frames\":{\"next\":1,\"fraction\":0}}"},
            {"{\"refused_requests\":{\"next\":1,\"fraction\":0}}"},
        };
    }

    @Test(dataProvider = "streamFaults")
    public void a_stream_is_complete_and_has_no_text_of_other_requests_under_each_engine_fault(String fault) {
        engines().forEach(engine -> engine.faults().merge(fault));

        HttpResponse<String> response = deployment.complete(0, MODEL, "Which grit?", 100, true);

        assertEquals(response.statusCode(), 200, response.body());
        assertEquals(Answers.tokens(response.body()), Answers.expected(MODEL, "Which grit?", 100));
        assertTrue(response.body().endsWith("data: [DONE]\n\n"));
    }

    @Test
    public void a_stream_resumes_on_another_runner_when_its_runner_crashes() {
        CompletableFuture<HttpResponse<String>> answer =
                CompletableFuture.supplyAsync(() -> deployment.complete(0, MODEL, "long", 4_000, true));
        Deployment.await("the stream runs", () -> runningEngine().isPresent());
        runningEngine().orElseThrow().crash();

        HttpResponse<String> response = answer.join();

        assertEquals(
                Answers.tokens(response.body()),
                Answers.expected(MODEL, "long", 4_000),
                response.body().substring(Math.max(0, response.body().length() - 500)));
    }

    @Test
    public void a_request_that_crashes_runners_crashes_at_most_two_and_is_then_refused() {
        engines().forEach(engine -> engine.faults().merge("{\"crash_on_text\":\"boom\",\"restart_millis\":300}"));
        List<String> epochsBefore = epochs();

        HttpResponse<String> last = deployment.complete(0, MODEL, "boom", 10, false);
        // The first request may be sent twice; after the second strike no request may be sent.
        for (int i = 0;
                i < 10
                        && !last.headers()
                                .firstValue("Agatehatch-Outcome")
                                .orElse("")
                                .equals("not_run");
                i++) {
            last = deployment.complete(0, MODEL, "boom", 10, false);
        }

        assertEquals(last.statusCode(), 422, last.body());
        assertEquals(last.headers().firstValue("Agatehatch-Outcome").orElse(""), "not_run");
        Deployment.await("all engines have restarted", () -> epochs().stream().noneMatch(String::isEmpty));
        List<String> epochsAfter = epochs();
        int crashes = 0;
        for (int i = 0; i < epochsBefore.size(); i++) {
            crashes += epochsAfter.get(i).equals(epochsBefore.get(i)) ? 0 : 1;
        }
        assertTrue(crashes <= 2, epochsBefore + " -> " + epochsAfter);
        deployment.awaitServing(MODEL);
    }

    @Test
    public void a_leaving_runner_gets_no_new_requests() {
        EngineStandIn leaving = engines().stream()
                .filter(engine -> engine.inventory().models().stream()
                        .anyMatch(model -> model.model().equals(MODEL)))
                .findFirst()
                .orElseThrow();
        leaving.faults().merge("{\"leaving\":true}");
        Deployment.await("the leaving runner gets no more requests", () -> {
            int before = leaving.attempts().size();
            for (int i = 0; i < 10; i++) {
                assertEquals(deployment.complete(0, MODEL, "n" + i, 1, false).statusCode(), 200);
            }
            return leaving.attempts().size() == before;
        });
    }

    @Test
    public void during_a_log_outage_models_answer_and_requests_with_a_key_are_refused_as_not_run() {
        URI orders = URI.create(deployment.url(0) + "/services/orders/orders");
        Deployment.await(
                "claims",
                () -> deployment
                                .post(orders, "{}", "Idempotency-Key", "\"first\"")
                                .statusCode()
                        == 201);
        deployment.platform().log().faults().merge("{\"outage\":true}");

        assertEquals(deployment.complete(0, MODEL, "hello", 5, false).statusCode(), 200);
        HttpResponse<String> keyed = deployment.post(orders, "{}", "Idempotency-Key", "\"second\"");
        assertEquals(keyed.statusCode(), 503, keyed.body());
        assertEquals(keyed.headers().firstValue("Agatehatch-Outcome").orElse(""), "not_run");
        assertEquals(deployment.post(orders, "{}").statusCode(), 201, "a request without a key gets one attempt");
        assertEquals(deployment.apply(0, "version: 1\n", 1).statusCode(), 503);

        deployment.platform().log().faults().merge("{\"outage\":false}");
        Deployment.await(
                "claims are accepted after the outage",
                () -> deployment
                                .post(orders, "{}", "Idempotency-Key", "\"third\"")
                                .statusCode()
                        == 201);
        assertFalse(runCountsByKey().contains("second"), runCountsByKey());
    }

    @Test
    public void a_request_with_a_key_runs_at_most_once_when_log_and_service_answers_are_lost() {
        URI orders = URI.create(deployment.url(0) + "/services/orders/orders");
        Deployment.await(
                "claims",
                () -> deployment
                                .post(orders, "{}", "Idempotency-Key", "\"first\"")
                                .statusCode()
                        == 201);
        deployment.platform().log().faults().merge("{\"lost_answers\":{\"next\":0,\"fraction\":0.5}}");
        deployment
                .platform()
                .services()
                .forEach(service -> service.faults().merge("{\"lost_answers\":{\"next\":0,\"fraction\":0.3}}"));
        List<CompletableFuture<Integer>> calls = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            String key = "\"key-" + i % 10 + "\"";
            calls.add(CompletableFuture.supplyAsync(
                    () -> deployment.post(orders, "{}", "Idempotency-Key", key).statusCode()));
        }
        calls.forEach(CompletableFuture::join);

        Answers.json(runCountsByKey())
                .path("by_key")
                .forEach(count -> assertTrue(count.asInt() <= 1, runCountsByKey()));
    }

    @Test
    public void a_graceful_stop_cuts_off_no_stream_and_removes_the_node_from_the_entry_nodes_first() {
        HttpRequest request = HttpRequest.newBuilder(URI.create(deployment.url(0) + "/v1/chat/completions"))
                .POST(HttpRequest.BodyPublishers.ofString("""
                        {"model":"counter-8b","stream":true,"max_tokens":4000,"messages":[{"role":"user","content":"long"}]}"""))
                .build();
        CompletableFuture<HttpResponse<String>> stream =
                deployment.http().sendAsync(request, HttpResponse.BodyHandlers.ofString());
        Deployment.await("the stream runs", () -> runningEngine().isPresent());

        CompletableFuture<Void> stopped = deployment.node(0).stop().toCompletableFuture();
        Deployment.await(
                "the node has left the list of entry nodes",
                () -> stopped.isDone()
                        || !entryNodes().contains(deployment.node(0).info().callerAddress()));

        assertEquals(Answers.tokens(stream.join().body()), Answers.expected(MODEL, "long", 4_000));
        stopped.join();
    }

    private String entryNodes() {
        return deployment.get(deployment.url(0) + "/v1/entry-nodes").body();
    }

    private String runCountsByKey() {
        StringBuilder runCountsByKey = new StringBuilder("{\"by_key\":{");
        deployment.platform().addresses().services().forEach(server -> {
            var byKey = Answers.json(deployment
                            .get("http://" + server.address() + "/runs")
                            .body())
                    .path("by_key");
            byKey.fields()
                    .forEachRemaining(entry -> runCountsByKey
                            .append(runCountsByKey.charAt(runCountsByKey.length() - 1) == '{' ? "" : ",")
                            .append('"')
                            .append(server.name())
                            .append(' ')
                            .append(entry.getKey().replace("\"", ""))
                            .append("\":")
                            .append(entry.getValue()));
        });
        return runCountsByKey.append("}}").toString();
    }

    private List<EngineStandIn> engines() {
        return deployment.platform().engines();
    }

    private Optional<EngineStandIn> runningEngine() {
        return engines().stream()
                .filter(engine -> engine.attempts().stream()
                        .anyMatch(entry -> entry.state().equals("running")))
                .findFirst();
    }

    private List<String> epochs() {
        return engines().stream()
                .map(engine -> engine.inventory().runnerEpoch())
                .toList();
    }

    private long replicas() {
        return engines().stream()
                .flatMap(engine -> engine.inventory().models().stream())
                .filter(model -> model.model().equals(MODEL) && model.ready())
                .count();
    }
}
