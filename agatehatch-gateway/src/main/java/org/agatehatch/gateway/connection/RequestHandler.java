package org.agatehatch.gateway.connection;

/** Handles callers' requests. */
@FunctionalInterface
public interface RequestHandler {
    /** A request that is being handled. */
    interface InFlightRequest {
        /** Called when the caller's connection has closed. */
        void onCallerGone();

        /** Called when the write buffer to the caller crosses its high or low watermark. */
        void onWritabilityChanged(boolean writable);

        /** Called shortly before the process exits, so that the request is answered before its connection closes. */
        void onProcessEnding();
    }

    /** A request that was answered before its handling returned. */
    InFlightRequest ALREADY_ANSWERED = new InFlightRequest() {
        @Override
        public void onCallerGone() {}

        @Override
        public void onWritabilityChanged(boolean writable) {}

        @Override
        public void onProcessEnding() {}
    };

    /** Starts handling a request. The sink receives exactly one response or is aborted, unless the caller disconnects first. */
    InFlightRequest start(CallerRequest request, ResponseSink sink);
}
