package org.agatehatch.gateway.process;

import java.util.Optional;
import java.util.function.BiFunction;
import org.agatehatch.api.fleet.FleetConfig;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.fleet.NodeGroup;
import org.agatehatch.api.fleet.ResidencyOrders;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.gateway.HeaderCodec;

/**
 * The platform as a node reaches it.
 *
 * @param configTopic where the operator writes configurations
 * @param configDecoder reads a record of it; returns nothing for a key that holds none
 * @param serverTopic where backend servers register
 * @param serverDecoder reads a record of it; returns nothing for an entry that names no usable server
 * @param placementClaimTopic where the right to give orders to runners is recorded
 */
public record PlatformBindings(
        KeyedTopic configTopic,
        BiFunction<String, byte[], Optional<FleetConfig>> configDecoder,
        KeyedTopic serverTopic,
        BiFunction<String, byte[], Optional<ServerEntry>> serverDecoder,
        NodeGroup nodeGroup,
        KeyedTopic placementClaimTopic,
        ResidencyOrders residencyOrders,
        HeaderCodec headerCodec) {}
