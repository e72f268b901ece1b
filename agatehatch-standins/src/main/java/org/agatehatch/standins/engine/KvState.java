package org.agatehatch.standins.engine;

import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/**
 * Exported blocks of the KV cache, with the field names of the protocol.
 *
 * @param baseModel base of an adapter, named by who imports; empty otherwise
 * @param bytes size that the transfer is charged with
 * @param state stands for the attention state; belongs to exactly these blocks
 */
record KvState(String model, String baseModel, List<String> blocks, long bytes, String state) {
    KvState {
        if (model == null || blocks == null || blocks.isEmpty()) {
            throw new IllegalArgumentException("a KV state needs model and blocks");
        }
        blocks = List.copyOf(blocks);
    }

    static KvState of(String model, List<String> blocks, long bytesPerBlock) {
        return new KvState(model, "", blocks, blocks.size() * bytesPerBlock, stateOf(model, blocks));
    }

    boolean isValid() {
        return stateOf(model, blocks).equals(state);
    }

    String residentModel() {
        return Optional.ofNullable(baseModel).filter(base -> !base.isEmpty()).orElse(model);
    }

    long[] hashes() {
        return blocks.stream().mapToLong(PromptBlocks::parse).toArray();
    }

    private static String stateOf(String model, List<String> blocks) {
        return "kv-" + PromptBlocks.hex(LongHashFunction.xx().hashChars(model + blocks));
    }
}
