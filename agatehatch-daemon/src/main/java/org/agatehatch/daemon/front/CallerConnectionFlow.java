package org.agatehatch.daemon.front;

import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import org.agatehatch.daemon.traffic.CallerPresence;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Flow;

/** Handles the requests of a caller's connection one after the other, and tells the current one when the connection closes. */
final class CallerConnectionFlow {
    private CallerConnectionFlow() {}

    static Flow<HttpRequest, HttpResponse, NotUsed> of(
            BiFunction<HttpRequest, CallerPresence, CompletionStage<HttpResponse>> handler) {
        return Flow.<HttpRequest, HttpResponse, NotUsed>fromMaterializer((materializer, attributes) -> {
                    CallerPresence caller = new CallerPresence();
                    return Flow.of(HttpRequest.class)
                            .watchTermination((ignored, done) -> {
                                done.whenComplete((closed, failure) -> caller.leave());
                                return NotUsed.getInstance();
                            })
                            .mapAsync(1, request -> handler.apply(request, caller));
                })
                .mapMaterializedValue(ignored -> NotUsed.getInstance());
    }
}
