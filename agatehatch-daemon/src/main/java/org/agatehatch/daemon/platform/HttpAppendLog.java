package org.agatehatch.daemon.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** HTTP client of the platform's append-only log. */
public final class HttpAppendLog implements AppendLog {
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration READ_TIMEOUT_MARGIN = Duration.ofSeconds(3);

    /** An answer has at most 4 MiB of payload, which base64 enlarges by a third, and then the fields around it. */
    private static final long MAX_PAGE_BYTES = 8 << 20;

    private final PlatformHttp http;
    private final URI base;

    public HttpAppendLog(PlatformHttp http, URI base) {
        this.http = http;
        this.base = base;
    }

    @Override
    public CompletionStage<Long> append(String stream, byte[] payload) {
        HttpRequest request = HttpRequest.POST(base + "/streams/" + stream + "/records")
                .withEntity(ContentTypes.APPLICATION_OCTET_STREAM, payload);
        return http.call(request, APPEND_TIMEOUT, new TypeReference<Appended>() {}, ErrorCode.LOG_UNAVAILABLE, "append")
                .thenApply(Appended::offset);
    }

    @Override
    public CompletionStage<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration wait) {
        HttpRequest request = HttpRequest.GET(base + "/streams/" + stream + "/records?from=" + fromOffset + "&max="
                + maxRecords + "&wait_ms=" + wait.toMillis());
        return http.callWhileProgressing(
                        request,
                        wait.plus(READ_TIMEOUT_MARGIN),
                        MAX_PAGE_BYTES,
                        new TypeReference<Page>() {},
                        ErrorCode.LOG_UNAVAILABLE,
                        "read log")
                .thenApply(Page::toBatch);
    }

    private record Appended(long offset) {}

    @SuppressWarnings(
            "ArrayRecordComponent") // Short-lived: decoded from base64 JSON and copied to a LogRecord at once.
    private record Entry(long offset, byte[] payload) {}

    private record Page(List<Entry> records, long oldestOffset, long endOffset) {
        private LogBatch toBatch() {
            List<LogRecord> decoded = records.stream()
                    .map(entry -> new LogRecord(entry.offset(), entry.payload()))
                    .toList();
            return new LogBatch(decoded, oldestOffset, endOffset);
        }
    }
}
