package org.agatehatch.daemon.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Reads the platform's list of live and leaving VMs. The list may lag behind the actual state of the VMs. */
public final class VmListClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final PlatformHttp http;
    private final URI base;
    private final AtomicLong lastRequest = new AtomicLong();
    private final AtomicLong newestAnswered = new AtomicLong();

    public VmListClient(PlatformHttp http, URI base) {
        this.http = http;
        this.base = base;
    }

    /** Requests the list and returns its VMs. Fails if a later request was answered first, since its list is newer. */
    public CompletionStage<List<Vm>> read() {
        long request = lastRequest.incrementAndGet();
        return http.call(
                        HttpRequest.GET(base + "/vms"),
                        TIMEOUT,
                        new TypeReference<VmList>() {},
                        ErrorCode.INTERNAL,
                        "read VM list")
                .thenApply(list -> {
                    if (newestAnswered.getAndAccumulate(request, Math::max) > request) {
                        throw new AgatehatchException(
                                ErrorCode.INTERNAL,
                                "read VM list",
                                base.toString(),
                                Outcome.UNKNOWN,
                                "a later request was answered first");
                    }
                    return list.vms();
                });
    }

    /**
     * One VM of the list.
     *
     * @param kind {@code node} or {@code backend_server}
     * @param address address of the node's peer port, or of the backend server
     * @param state {@code live} or {@code leaving}
     */
    public record Vm(String name, String address, String kind, String failureDomain, String state) {}

    private record VmList(List<Vm> vms) {}
}
