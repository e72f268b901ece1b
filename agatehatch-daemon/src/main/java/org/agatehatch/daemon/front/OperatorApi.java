package org.agatehatch.daemon.front;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** HTTP interface for operators, used by the command line. */
public final class OperatorApi {
    /** Response header with the version of the returned catalogue. */
    public static final String VERSION_HEADER = "Agatehatch-Catalogue-Version";

    private final CatalogueAdmin catalogue;
    private final StatusReports reports;
    private final Supplier<CompletionStage<String>> accounts;

    /** @param accounts renders the accounts of all owners */
    public OperatorApi(CatalogueAdmin catalogue, StatusReports reports, Supplier<CompletionStage<String>> accounts) {
        this.catalogue = catalogue;
        this.reports = reports;
        this.accounts = accounts;
    }

    /**
     * Handles one request.
     *
     * @param path path below {@code /admin/v1/}
     */
    CompletionStage<HttpResponse> handle(HttpRequest request, String path, byte[] body) {
        boolean post = request.method().equals(HttpMethods.POST);
        return switch (path) {
            case "catalogue" -> post ? apply(request, body) : read(request);
            case "catalogue/history" -> reports.history().thenApply(OperatorApi::json);
            case "status" -> reports.status().thenApply(OperatorApi::json);
            case "nodes" -> CompletableFuture.completedFuture(json(reports.nodes()));
            case "placement" -> reports.placement().thenApply(OperatorApi::json);
            case "accounts" -> accounts.get().thenApply(OperatorApi::json);
            case "drain" -> drain(request, post);
            default -> throw invalid("unknown path '/admin/v1/" + path + "'; docs/api.md lists the paths");
        };
    }

    private CompletionStage<HttpResponse> read(HttpRequest request) {
        Optional<Long> version = parameter(request, "version").map(text -> number("version", text));
        return catalogue
                .read(version)
                .thenApply(found -> HttpResponse.create()
                        .addHeader(RawHeader.create(VERSION_HEADER, Long.toString(found.version())))
                        .withEntity(ContentTypes.TEXT_PLAIN_UTF8, found.yaml()));
    }

    private CompletionStage<HttpResponse> apply(HttpRequest request, byte[] body) {
        long baseVersion = number("base_version", required(request, "base_version"));
        String operator = parameter(request, "operator").orElse("unknown");
        String file = parameter(request, "file").orElse("catalogue.yaml");
        return catalogue
                .apply(file, new String(body, StandardCharsets.UTF_8), baseVersion, operator)
                .thenApply(version -> json("{\"version\":" + version + "}"));
    }

    private CompletionStage<HttpResponse> drain(HttpRequest request, boolean post) {
        if (!post) {
            throw invalid("drain accepts only the method POST");
        }
        String server = required(request, "backend_server");
        boolean draining = !"false".equals(parameter(request, "draining").orElse("true"));
        String operator = parameter(request, "operator").orElse("unknown");
        return catalogue
                .drain(server, draining, operator)
                .thenApply(ignored -> json("{\"draining\":" + draining + "}"));
    }

    private static Optional<String> parameter(HttpRequest request, String name) {
        return request.getUri().query().get(name);
    }

    private static String required(HttpRequest request, String name) {
        return parameter(request, name).orElseThrow(() -> invalid("the query parameter '" + name + "' is missing"));
    }

    private static long number(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw invalid("'" + name + "' must be an integer, got '" + text + "'");
        }
    }

    private static HttpResponse json(String body) {
        return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, body);
    }

    private static AgatehatchException invalid(String message) {
        return new AgatehatchException(ErrorCode.INVALID_REQUEST, "operate", "self", Outcome.NOT_RUN, message);
    }
}
