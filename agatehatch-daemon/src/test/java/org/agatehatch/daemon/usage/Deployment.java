package org.agatehatch.daemon.usage;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.agatehatch.daemon.RunningNode;
import org.agatehatch.daemon.settings.NodeSettings;
import org.agatehatch.standins.Platform;
import org.agatehatch.standins.PlatformAddresses;
import org.agatehatch.standins.PlatformSettings;
import org.apache.pekko.actor.ActorSystem;

/** A platform of stand-ins and the nodes that use it, each node with its own actor system. */
final class Deployment implements AutoCloseable {
    static final Duration TEST_TIMEOUT = Duration.ofSeconds(60);
    private static final String KEY = "0123456789abcdef";

    private final ActorSystem platformSystem = ActorSystem.create("platform");
    private final HttpClient http = HttpClient.newHttpClient();
    private final List<ActorSystem> systems = new ArrayList<>();
    private final List<RunningNode> nodes = new ArrayList<>();
    private final Platform platform;

    Deployment(PlatformSettings settings) {
        platform = Platform.start(platformSystem, settings);
    }

    Platform platform() {
        return platform;
    }

    RunningNode startNode(String name, String failureDomain) {
        ActorSystem system = ActorSystem.create(name);
        PlatformAddresses addresses = platform.addresses();
        NodeSettings settings = new NodeSettings(
                name,
                failureDomain,
                "local",
                "127.0.0.1",
                0,
                0,
                "127.0.0.1",
                URI.create(addresses.log()),
                URI.create(addresses.vmList()),
                KEY,
                1,
                20,
                500,
                20_000,
                65_536,
                "text",
                false);
        RunningNode node = RunningNode.start(system, settings);
        systems.add(system);
        nodes.add(node);
        post(URI.create(addresses.vmList() + "/vms"), """
                {"upserts":[{"name":"%s","address":"%s","kind":"node","failure_domain":"%s","state":"live"}],"removals":[]}
                """.formatted(
                        name, node.info().peerAddress(), failureDomain));
        return node;
    }

    RunningNode node(int index) {
        return nodes.get(index);
    }

    int nodes() {
        return nodes.size();
    }

    /** Terminates a node's actor system without a graceful stop. */
    void kill(int index) {
        systems.get(index).terminate();
        systems.get(index).getWhenTerminated().toCompletableFuture().join();
    }

    String url(int index) {
        return "http://" + nodes.get(index).info().callerAddress();
    }

    HttpResponse<String> get(String url) {
        return send(
                HttpRequest.newBuilder(URI.create(url)).timeout(TEST_TIMEOUT).build());
    }

    HttpResponse<String> post(URI uri, String body, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri).timeout(TEST_TIMEOUT);
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return send(builder.POST(HttpRequest.BodyPublishers.ofString(body)).build());
    }

    HttpResponse<String> complete(int index, String model, String content, int maxTokens, boolean stream) {
        String body = """
                {"model":"%s","stream":%s,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}""".formatted(model, stream, maxTokens, content);
        return post(URI.create(url(index) + "/v1/chat/completions"), body);
    }

    HttpResponse<String> apply(int index, String yaml, long baseVersion) {
        return post(URI.create(url(index) + "/admin/v1/catalogue?base_version=" + baseVersion), yaml);
    }

    HttpResponse<String> send(HttpRequest request) {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    HttpClient http() {
        return http;
    }

    /** Waits for a condition; the timeout only ends a test that would otherwise hang. */
    static void await(String what, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TEST_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                throw new AssertionError("waited " + TEST_TIMEOUT.toSeconds() + " s for: " + what);
            }
            java.util.concurrent.locks.LockSupport.parkNanos(20_000_000);
        }
    }

    void awaitServing(String model) {
        for (int i = 0; i < nodes.size(); i++) {
            int index = i;
            await(
                    "node " + index + " answers for " + model,
                    () -> complete(index, model, "hello", 1, false).statusCode() == 200);
        }
    }

    @Override
    public void close() {
        systems.forEach(ActorSystem::terminate);
        platform.close();
        platformSystem.terminate();
    }
}
