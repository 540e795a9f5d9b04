package deckfall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Checks how the call budgets of a fleet share a counter, on a simulated clock. */
class CallBudgetTest {
    private static final double TIMEOUT_MS = 80;
    private static final double STEP_MS = 10;
    private static final int WANTED_CALLS_PER_S = 5; // at each gateway

    private final Random random = new Random(3);
    private double now;

    /**
     * Simulates a fleet that wants calls of two kinds, equally many of each, to a counter of this capacity. Returns the
     * number of calls made of each kind.
     */
    private int[] simulateCalls(
            CallBudget[] fleet, double capacityPerSecond, int seconds, double lowSaving, double highSaving) {
        int[] calls = new int[2];
        double queue = 0;
        for (double end = now + seconds * 1000; now < end; now += STEP_MS) {
            queue = Math.max(0, queue - capacityPerSecond * STEP_MS / 1000);
            for (CallBudget budget : fleet) {
                budget.updateMinPrice(0, 1);
                if (random.nextDouble() >= STEP_MS * WANTED_CALLS_PER_S / 1000) continue;
                int kind = random.nextInt(2);
                boolean drawn = random.nextDouble() < (kind == 0 ? lowSaving : highSaving) / budget.price(now);
                if (!drawn || !budget.allowsCall(now)) continue;
                budget.recordCall(now);
                calls[kind]++;
                double latencyMs = ++queue / capacityPerSecond * 1000;
                budget.recordReply(now, Math.min(TIMEOUT_MS, latencyMs), latencyMs < TIMEOUT_MS);
            }
        }
        return calls;
    }

    private static CallBudget[] fleet(int gateways) {
        CallBudget[] fleet = new CallBudget[gateways];
        Arrays.setAll(fleet, i -> new CallBudget(0, TIMEOUT_MS, gateways));
        return fleet;
    }

    @Test
    void fleetConvergesToTheCounterCapacityAndPrefersCallsThatSaveMost() {
        CallBudget[] fleet = fleet(100);
        simulateCalls(fleet, 100, 20, 1, 4);
        int[] calls = simulateCalls(fleet, 100, 20, 1, 4);
        double perSecond = (calls[0] + calls[1]) / 20.0;
        assertTrue(perSecond > 60 && perSecond < 130, perSecond + " calls per second at a capacity of 100");
        assertTrue(calls[1] > 2 * calls[0], calls[1] + " calls with a high saving, " + calls[0] + " with a low saving");
    }

    @Test
    void counterWithSpareCapacityGetsAllCalls() {
        int[] calls = simulateCalls(fleet(10), 1000, 20, 1, 4);
        assertEquals(10 * 20 * WANTED_CALLS_PER_S, calls[0] + calls[1], 100);
    }

    @Test
    void silentCounterIsCalledRarelyAndUsedAgainOnceItRecovers() {
        CallBudget[] fleet = fleet(10);
        simulateCalls(fleet, 1000, 10, 1, 4);
        simulateCalls(fleet, 1e-6, 20, 1, 4);
        int[] whileSilent = simulateCalls(fleet, 1e-6, 10, 1, 4);
        assertTrue(
                whileSilent[0] + whileSilent[1] <= 10 * 10,
                whileSilent[0] + whileSilent[1] + " calls of ten gateways in 10 s");
        simulateCalls(fleet, 1000, 15, 1, 4);
        int[] afterRecovery = simulateCalls(fleet, 1000, 10, 1, 4);
        assertTrue(
                afterRecovery[0] + afterRecovery[1] > 0.8 * 10 * 10 * WANTED_CALLS_PER_S,
                afterRecovery[0] + afterRecovery[1] + " calls of 500 after the recovery");
    }
}
