package org.agatehatch.gateway.connection;

/** Starts the work on callers' requests. */
@FunctionalInterface
public interface RequestHandler {
    /** The work on one request. */
    interface InFlightRequest {
        /** The caller's connection is gone. */
        void onCallerGone();

        /** The caller takes data again, or takes none for now. */
        void onWritabilityChanged(boolean writable);
    }

    /** Starts the work. The sink gets exactly one answer, or is cut off, unless the caller goes before. */
    InFlightRequest start(CallerRequest request, ResponseSink sink);
}
