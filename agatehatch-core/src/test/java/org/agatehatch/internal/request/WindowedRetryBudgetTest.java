package org.agatehatch.internal.request;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Guards against retries of all nodes together that exceed the budget of a service. */
public final class WindowedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 56;
    private static final long WINDOW_MILLIS = 10_000;

    private long nowMillis = 100_000;

    private WindowedRetryBudget budget(int nodes) {
        return new WindowedRetryBudget(() -> nowMillis * 1_000_000, RATIO, SLACK, WINDOW_MILLIS, () -> nodes);
    }

    @Test
    public void all_nodes_together_stay_within_the_budget_in_any_window() {
        int nodes = 8;
        List<WindowedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            budgets.add(budget(nodes));
        }
        Random random = new Random(7);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (int step = 0; step < 4_000; step++) {
            nowMillis += 10;
            WindowedRetryBudget node = budgets.get(random.nextInt(nodes));
            node.countRequest("s");
            requests.add(nowMillis);
            while (node.tryTake("s")) {
                retries.add(nowMillis);
            }
            long from = nowMillis - WINDOW_MILLIS;
            long inWindow = retries.stream().filter(at -> at > from).count();
            long asked = requests.stream().filter(at -> at > from).count();
            assertTrue(inWindow <= RATIO * asked + SLACK, inWindow + " retries for " + asked + " requests");
        }
    }

    @Test
    public void an_idle_service_has_only_its_share_of_the_slack() {
        WindowedRetryBudget budget = budget(4);
        int taken = 0;
        while (budget.tryTake("s")) {
            taken++;
        }
        assertTrue(taken > 0 && taken <= SLACK / 4, "taken: " + taken);
        nowMillis += 2 * WINDOW_MILLIS;
        assertTrue(budget.tryTake("s"));
    }

    @Test
    public void each_service_has_a_separate_budget() {
        WindowedRetryBudget budget = budget(1);
        for (int i = 0; i < 2 * SLACK; i++) {
            budget.tryTake("a");
        }
        assertFalse(budget.tryTake("a"));
        assertTrue(budget.tryTake("b"));
    }
}
