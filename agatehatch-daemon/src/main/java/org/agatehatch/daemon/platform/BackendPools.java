package org.agatehatch.daemon.platform;

import com.typesafe.config.Config;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;

/** Settings of the connection pools to backend servers and to the platform. */
public final class BackendPools {
    /** Room for large header fields; bounds the memory of each connection. */
    static final int MAX_HEAD_BYTES = 64 << 10;
    /** A longer time would keep the connection of a faulty server open after the deadline of its request. */
    static final Duration HEAD_TIMEOUT = Duration.ofSeconds(10);

    private BackendPools() {}

    /** Returns the settings in the configuration, with limited response heads and without retries. */
    public static ConnectionPoolSettings settings(Config config) {
        return ConnectionPoolSettings.create(config).withMaxRetries(0).withTransport(new LimitingTransport());
    }

    private static final class LimitingTransport extends ClientTransport {
        @Override
        public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
                String host, int port, ClientConnectionSettings settings, ActorSystem system) {
            return BidiFlow.fromGraph(new ResponseHeadLimiter(MAX_HEAD_BYTES, HEAD_TIMEOUT))
                    .join(
                            ClientTransport.TCP().connectTo(host, port, settings, system),
                            (ignored, connection) -> connection);
        }
    }
}
