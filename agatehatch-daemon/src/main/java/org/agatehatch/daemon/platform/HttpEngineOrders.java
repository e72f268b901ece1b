package org.agatehatch.daemon.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.EngineOrders;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.api.errors.ErrorCode;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** HTTP client that sends orders to engines and reads their inventory and load reports. */
public final class HttpEngineOrders implements EngineOrders {
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

    private final PlatformHttp http;

    public HttpEngineOrders(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public CompletionStage<OrderReply> send(BackendServer runner, EngineOrder order) {
        HttpRequest request = HttpRequest.POST(url(runner, "/engine/orders"))
                .withEntity(ContentTypes.APPLICATION_JSON, PlatformHttp.encode(order));
        return http.call(
                request,
                ORDER_TIMEOUT,
                new TypeReference<OrderReply>() {},
                ErrorCode.BACKEND_SERVER_FAILED,
                "send order");
    }

    @Override
    public CompletionStage<EngineInventory> inventory(BackendServer runner) {
        return http.call(
                HttpRequest.GET(url(runner, "/engine/inventory")),
                REPORT_TIMEOUT,
                new TypeReference<EngineInventory>() {},
                ErrorCode.BACKEND_SERVER_FAILED,
                "read inventory");
    }

    /** Reads the runner's load report. */
    public CompletionStage<LoadReport> load(BackendServer runner) {
        return http.call(
                HttpRequest.GET(url(runner, "/engine/load")),
                REPORT_TIMEOUT,
                new TypeReference<LoadReport>() {},
                ErrorCode.BACKEND_SERVER_FAILED,
                "read load");
    }

    private static String url(BackendServer runner, String path) {
        return "http://" + runner.address() + path;
    }
}
