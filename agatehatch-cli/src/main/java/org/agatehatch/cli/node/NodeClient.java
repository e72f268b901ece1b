package org.agatehatch.cli.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.cli.Usage;

/**
 * Calls the operators' HTTP interface of the first node that answers. A change is sent to a second node only if the
 * first one surely did not take it.
 */
public final class NodeClient {
    private static final String VERSION_HEADER = "Agatehatch-Catalogue-Version";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    /** A node waits for the log for some seconds before it answers that the outcome is unknown. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);

    private static final int FIRST_ERROR = 300;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> urls;
    private final HttpClient http;

    private NodeClient(List<String> urls, HttpClient http) {
        this.urls = List.copyOf(urls);
        this.http = http;
    }

    /** Returns a client of the nodes with these base URLs. */
    public static NodeClient of(List<String> urls) {
        List<String> checked = urls.stream().map(NodeClient::checkedUrl).toList();
        return new NodeClient(
                checked,
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build());
    }

    /** Returns a base URL without a slash at its end, or fails if it is no HTTP URL. */
    public static String checkedUrl(String url) {
        String base = url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
        try {
            URI uri = URI.create(base);
            if ("http".equals(uri.getScheme()) && uri.getHost() != null) {
                return base;
            }
        } catch (IllegalArgumentException ignored) {
            // Reported below, as a URL of another kind is.
        }
        throw Usage.wrong("'" + url + "' is no URL of a node; write for example http://127.0.0.1:8080");
    }

    /** Reads below {@code /admin/v1/}. */
    public NodeAnswer get(String path, Map<String, String> query) {
        return get(path, query, ANSWER_TIMEOUT);
    }

    /** Reads below {@code /admin/v1/}, and waits that long for each node's answer. */
    public NodeAnswer get(String path, Map<String, String> query, Duration timeout) {
        return firstAnswer(path, query, HttpRequest.newBuilder().GET().timeout(timeout), false);
    }

    /** Sends a change below {@code /admin/v1/}. */
    public NodeAnswer post(String path, Map<String, String> query, String body) {
        return firstAnswer(
                path,
                query,
                HttpRequest.newBuilder().timeout(ANSWER_TIMEOUT).POST(HttpRequest.BodyPublishers.ofString(body)),
                true);
    }

    private NodeAnswer firstAnswer(
            String path, Map<String, String> query, HttpRequest.Builder request, boolean change) {
        AgatehatchException last = null;
        for (String url : urls) {
            try {
                return call(url, path, query, request, change);
            } catch (AgatehatchException e) {
                if (!anotherNodeMayAnswer(e)) {
                    throw e;
                }
                last = last == null ? e : joined(last, e);
            }
        }
        throw last;
    }

    private static boolean anotherNodeMayAnswer(AgatehatchException error) {
        return error.outcome() == Outcome.NOT_RUN
                && switch (error.code()) {
                    case NODE_UNREACHABLE, NODE_STARTING, NODE_LEAVING -> true;
                    default -> false;
                };
    }

    private static AgatehatchException joined(AgatehatchException first, AgatehatchException second) {
        return new AgatehatchException(
                second.code(),
                second.step(),
                first.peer() + "," + second.peer(),
                Outcome.NOT_RUN,
                first.getMessage() + System.lineSeparator() + second.getMessage());
    }

    private NodeAnswer call(
            String url, String path, Map<String, String> query, HttpRequest.Builder request, boolean change) {
        URI uri = URI.create(url + "/admin/v1/" + path + queryText(query));
        HttpResponse<String> response;
        try {
            response = http.send(request.copy().uri(uri).build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw unreachable(url, e, change);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unreachable(url, new IOException("interrupted", e), change);
        }
        if (response.statusCode() >= FIRST_ERROR) {
            throw answeredError(url, response);
        }
        OptionalLong version = response.headers().firstValueAsLong(VERSION_HEADER);
        return new NodeAnswer(url, response.body(), version);
    }

    private static AgatehatchException unreachable(String url, IOException cause, boolean change) {
        boolean notSent = cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
        if (notSent || !change) {
            return new AgatehatchException(
                    ErrorCode.NODE_UNREACHABLE,
                    "call node",
                    url,
                    Outcome.NOT_RUN,
                    "node " + url + " does not answer (" + describe(cause)
                            + "); check that it runs, or name other nodes with --node URL,URL",
                    cause);
        }
        return new AgatehatchException(
                ErrorCode.NODE_UNREACHABLE,
                "call node",
                url,
                Outcome.UNKNOWN,
                "the connection to node " + url + " ended before its answer (" + describe(cause)
                        + "); look at 'agatehatch catalogue history' or 'status' before you try again",
                cause);
    }

    private static String describe(IOException cause) {
        String name = cause.getClass().getSimpleName();
        return cause.getMessage() == null ? name : name + ": " + cause.getMessage();
    }

    private static AgatehatchException answeredError(String url, HttpResponse<String> response) {
        JsonNode error = errorOf(response.body());
        String wireCode = error.path("code").asText("");
        String peer = error.path("peer").asText("self");
        String outcomeName = error.path("outcome")
                .asText(response.headers().firstValue(Outcome.HEADER).orElse(""));
        String message = error.path("message")
                .asText("status " + response.statusCode() + " without an explanation" + "; check that " + url
                        + " is an agatehatch node");
        ErrorCode code = Arrays.stream(ErrorCode.values())
                .filter(known -> known.wireName().equals(wireCode))
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
        Outcome outcome = Arrays.stream(Outcome.values())
                .filter(known -> known.wireName().equals(outcomeName))
                .findFirst()
                .orElse(response.request().method().equals("GET") ? Outcome.NOT_RUN : Outcome.UNKNOWN);
        boolean unknownCode = code == ErrorCode.INTERNAL && !wireCode.isEmpty() && !wireCode.equals(code.wireName());
        return new AgatehatchException(
                code,
                error.path("step").asText("call node"),
                peer.equals("self") ? url : peer,
                outcome,
                unknownCode ? message + " (code of the node: " + wireCode + ")" : message);
    }

    private static JsonNode errorOf(String body) {
        try {
            return JSON.readTree(body).path("error");
        } catch (IOException e) {
            return JSON.missingNode();
        }
    }

    private static String queryText(Map<String, String> query) {
        return query.isEmpty()
                ? ""
                : query.entrySet().stream()
                        .map(entry ->
                                entry.getKey() + "=" + URLEncoder.encode(entry.getValue(), StandardCharsets.UTF_8))
                        .collect(Collectors.joining("&", "?", ""));
    }
}
