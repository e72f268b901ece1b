package org.agatehatch.benchmarks;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.agatehatch.internal.process.AccountCounters;
import org.agatehatch.internal.process.AccountRecord;
import org.agatehatch.internal.process.AccountRecordCodec;
import org.agatehatch.internal.process.ClaimRecord;
import org.agatehatch.internal.process.ClaimRecordCodec;
import org.agatehatch.internal.process.ClaimRegistry;
import org.agatehatch.internal.version.LeaseTable;
import org.agatehatch.internal.version.ReplicatedState;
import org.agatehatch.internal.version.record.RecordBatchCodec;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.LeaseRenew;
import org.agatehatch.internal.version.record.StateRecord.LeaseTake;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;

/**
 * Measures the size of log records and the processor time of reading them: what a node spends on following the log.
 *
 * <p>Run: {@code java -cp ... org.agatehatch.benchmarks.RecordCostBenchmark}.
 */
public final class RecordCostBenchmark {
    private static final String RECORD_ID = "0123456789abcdef0123456789abcdef";
    private static final int[] LEASES = {4, 25, 100, 200};
    private static final int[] CLAIMS = {1_000, 10_000, 40_000};
    private static final int ROUNDS = 2_000;
    private static final int OWNERS = 20;

    private RecordCostBenchmark() {}

    /** Prints the sizes and the times. */
    public static void main(String[] arguments) {
        System.out.println("record bytes_of_a_batch_with_one");
        System.out.println("lease_renewal " + bytes(renewal("pool:pool-17", 4711, 0)));
        System.out.println("placement_intent " + bytes(intent()));
        System.out.println("claim " + ClaimRecordCodec.encode(List.of(claim(0))).length);
        System.out.println("account_of_" + OWNERS + "_owners " + account().length);
        System.out.println("leases us_per_renewal");
        for (int leases : LEASES) {
            renewals(leases);
            System.out.printf("%d %.1f%n", leases, renewals(leases));
        }
        System.out.println("claims_kept us_per_claim heap_mib");
        for (int claims : CLAIMS) {
            System.out.println(claims(claims));
        }
    }

    private static int bytes(StateRecord record) {
        return RecordBatchCodec.encode(List.of(record)).length;
    }

    private static double renewals(int leases) {
        ReplicatedState state = new ReplicatedState();
        for (int lease = 0; lease < leases; lease++) {
            state.apply(lease, new LeaseTake("take-" + lease, "pool:" + lease, "node", "i", LeaseTable.FREE));
        }
        List<byte[]> batches = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            batches.add(RecordBatchCodec.encode(List.of(renewal("pool:" + round % leases, round % leases, round))));
        }
        long before = cpuNanos();
        for (int round = 0; round < ROUNDS; round++) {
            for (StateRecord record : RecordBatchCodec.decode(batches.get(round))) {
                state.apply(leases + round, record);
            }
            state.view();
        }
        return (cpuNanos() - before) / 1e3 / ROUNDS;
    }

    private static String claims(int count) {
        long heapBefore = heapBytes();
        ClaimRegistry registry = new ClaimRegistry(3_660_000, 8 << 20);
        long before = cpuNanos();
        for (int claim = 0; claim < count; claim++) {
            registry.apply(claim, List.of(claim(claim)), claim);
        }
        double microsPerClaim = (cpuNanos() - before) / 1e3 / count;
        double heapMib = (heapBytes() - heapBefore) / (double) (1 << 20);
        return String.format("%d %.1f %.1f", registry.size(), microsPerClaim, heapMib);
    }

    private static StateRecord renewal(String lease, long fencingNumber, int round) {
        return new LeaseRenew(RECORD_ID + round, lease, fencingNumber);
    }

    private static StateRecord intent() {
        return new PlacementIntent(
                RECORD_ID,
                "bench-advisor",
                4_711,
                IntentKind.LOAD,
                RECORD_ID,
                "history-reader-14b",
                "1.10",
                "runner-medeu-1",
                List.of(0, 1),
                40_960,
                "",
                "demand 5200 tokens/s of 4000 with 1 replica");
    }

    private static ClaimRecord.Claimed claim(int number) {
        return new ClaimRecord.Claimed(
                String.format("%032x", number),
                String.format("%032x", number * 31L),
                number,
                "10.0.0.17:9090",
                "5f3a9c0011223344",
                -1,
                0);
    }

    private static byte[] account() {
        Map<String, AccountCounters> byOwner = new java.util.TreeMap<>();
        for (int owner = 0; owner < OWNERS; owner++) {
            byOwner.put("owner-" + owner, new AccountCounters(123_456, 9_876_543, 9_876_543, 1_234_567, 1_234_567));
        }
        return AccountRecordCodec.encode(
                List.of(new AccountRecord("node-17", "5f3a9c0011223344", 2_880, false, byOwner)));
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long heapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
