package org.agatehatch.standins.engine;

/**
 * Hardware and properties of one engine.
 *
 * @param checksFencing whether orders with a lower fencing number than the highest accepted one are refused
 * @param cacheBlocks blocks of 256 prompt bytes that the prefix cache holds
 * @param adapterSlots adapters that are resident at once
 * @param kvBytesPerBlock size of a block when it is exported
 * @param kvLinkMibPerSecond rate of export and import
 */
public record EngineSettings(
        String name,
        int accelerators,
        long acceleratorMemoryMib,
        boolean checksFencing,
        int cacheBlocks,
        int adapterSlots,
        long kvBytesPerBlock,
        double kvLinkMibPerSecond,
        EngineSpeed speed) {
    public EngineSettings {
        if (name == null || name.isBlank()) {
            throw new IllegalArgumentException("an engine needs a name");
        }
        if (accelerators < 1 || acceleratorMemoryMib < 1 || cacheBlocks < 0 || adapterSlots < 1) {
            throw new IllegalArgumentException("engine " + name + " needs accelerators, accelerator_memory_mib and"
                    + " adapter_slots of at least 1 and cache_blocks of at least 0, but has " + accelerators + ", "
                    + acceleratorMemoryMib + ", " + adapterSlots + " and " + cacheBlocks);
        }
        if (kvBytesPerBlock < 0 || !(kvLinkMibPerSecond > 0)) {
            throw new IllegalArgumentException("engine " + name + " needs kv_bytes_per_block of at least 0 and a"
                    + " positive kv_link_mib_per_second, but has " + kvBytesPerBlock + " and " + kvLinkMibPerSecond);
        }
    }

    /** Returns an engine with 8 accelerators of 80 GiB that checks fencing numbers. */
    public static EngineSettings standard(String name) {
        return new EngineSettings(name, 8, 81_920, true, 4_096, 8, 4L << 20, 4_096, EngineSpeed.standard());
    }

    /** Returns this engine with another name. */
    public EngineSettings withName(String newName) {
        return new EngineSettings(
                newName,
                accelerators,
                acceleratorMemoryMib,
                checksFencing,
                cacheBlocks,
                adapterSlots,
                kvBytesPerBlock,
                kvLinkMibPerSecond,
                speed);
    }

    /** Returns this engine with another service-time model. */
    public EngineSettings withSpeed(EngineSpeed newSpeed) {
        return new EngineSettings(
                name,
                accelerators,
                acceleratorMemoryMib,
                checksFencing,
                cacheBlocks,
                adapterSlots,
                kvBytesPerBlock,
                kvLinkMibPerSecond,
                newSpeed);
    }

    /** Returns this engine with other hardware. */
    public EngineSettings withHardware(int newAccelerators, long newAcceleratorMemoryMib) {
        return new EngineSettings(
                name,
                newAccelerators,
                newAcceleratorMemoryMib,
                checksFencing,
                cacheBlocks,
                adapterSlots,
                kvBytesPerBlock,
                kvLinkMibPerSecond,
                speed);
    }

    /** Returns this engine, checking or ignoring fencing numbers. */
    public EngineSettings withChecksFencing(boolean newChecksFencing) {
        return new EngineSettings(
                name,
                accelerators,
                acceleratorMemoryMib,
                newChecksFencing,
                cacheBlocks,
                adapterSlots,
                kvBytesPerBlock,
                kvLinkMibPerSecond,
                speed);
    }
}
