package org.agatehatch.gateway.process;

import java.util.Optional;
import java.util.function.BiFunction;
import org.agatehatch.api.fleet.FleetConfig;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.fleet.NodeGroup;
import org.agatehatch.api.fleet.RecordLog;
import org.agatehatch.api.fleet.ResidencyOrders;
import org.agatehatch.api.fleet.ServerRecord;
import org.agatehatch.gateway.HeaderCodec;

/**
 * A node's access to the platform.
 *
 * @param configTopic topic to which the operator writes configurations
 * @param configDecoder decodes a key and record of {@code configTopic}; empty for a key that holds no configuration
 * @param serverTopic topic in which backend servers register
 * @param serverDecoder decodes a key and record of {@code serverTopic}
 * @param nodeGroup group of the nodes of this system
 * @param placementClaimTopic topic that records which node may send orders to runners
 * @param streamOriginLog log that records where resumable streams began
 * @param residencyOrders sends orders to runners
 * @param headerCodec reads and writes the platform's HTTP headers
 */
public record PlatformBindings(
        KeyedTopic configTopic,
        BiFunction<String, byte[], Optional<FleetConfig>> configDecoder,
        KeyedTopic serverTopic,
        ServerRecord.Decoder serverDecoder,
        NodeGroup nodeGroup,
        KeyedTopic placementClaimTopic,
        RecordLog streamOriginLog,
        ResidencyOrders residencyOrders,
        HeaderCodec headerCodec) {}
