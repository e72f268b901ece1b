package org.agatehatch.gateway;

import org.testng.annotations.Test;

/** Guards against nodes that take any answered report for one of the placement holder, and keep a former holder for good. */
public final class MissedHolderNoticeTest {
    private static final int NODES = 3;

    /** More than two check intervals of the lease. */
    private static final long READS_AFTER_CHANGE_MILLIS = 2_000;

    @Test
    public void a_node_that_missed_the_notice_of_a_new_holder_learns_of_it_from_the_former_one() throws Exception {
        try (LogLines log = new LogLines();
                Cluster cluster = new Cluster()) {
            for (int index = 0; index < NODES; index++) {
                cluster.startNode(index);
            }
            cluster.awaitReady();
            Waiting.until(
                    "all nodes at all nodes",
                    () -> log.with("nodes=[n0, n1, n2]").size() >= NODES);
            Waiting.until("a holder that all nodes know", () -> holderLines(log) >= NODES);
            // Each change of the group makes the nodes read the lease once more; the record must come after these
            // reads.
            Thread.sleep(READS_AFTER_CHANGE_MILLIS);

            boolean firstHolds = log.with("event=placement_holder holder=" + cluster.memberName(0))
                            .size()
                    > 0;
            int named = firstHolds ? 1 : 0;

            // No node sends a notice of this record, and no node leaves or joins the group.
            cluster.nameHolder(named);

            String known =
                    "event=placement_holder holder=" + cluster.memberName(named) + " token=" + Cluster.NAMED_TOKEN;
            Waiting.until("the record at all nodes", () -> log.with(known).size() >= NODES);
        }
    }

    private static int holderLines(LogLines log) {
        return (int) log.with("event=placement_holder").stream()
                .filter(line -> !line.contains("holder=none"))
                .count();
    }
}
