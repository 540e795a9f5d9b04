package deckfall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What a gateway spends on a counter that it shares, on a clock of the test's own. */
class CallBudgetTest {
    private static final double TIMEOUT_MS = 80;
    private static final double STEP_MS = 10;
    private static final int WISHES = 5; // a second, at each gateway

    private final Random random = new Random(3);
    private double now;

    /** Wishes of two worths, as many of each; how many calls each had, before a counter that bears so many a second. */
    private int[] calls(CallBudget[] fleet, double borne, int seconds, double little, double much) {
        int[] calls = new int[2];
        double queue = 0;
        for (double end = now + seconds * 1000; now < end; now += STEP_MS) {
            queue = Math.max(0, queue - borne * STEP_MS / 1000);
            for (CallBudget b : fleet) {
                b.updateMinPrice(0, 1);
                if (random.nextDouble() >= STEP_MS * WISHES / 1000) continue;
                int which = random.nextInt(2);
                boolean drawn = random.nextDouble() < (which == 0 ? little : much) / b.price(now);
                if (!drawn || !b.allowsCall(now)) continue;
                b.recordCall(now);
                calls[which]++;
                double took = ++queue / borne * 1000;
                b.recordAnswer(now, Math.min(TIMEOUT_MS, took), took < TIMEOUT_MS);
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
    void aFleetFindsWhatTheCounterBearsAndSpendsItWhereItSavesMost() {
        CallBudget[] fleet = fleet(100);
        calls(fleet, 100, 20, 1, 4);
        int[] calls = calls(fleet, 100, 20, 1, 4);
        double perSecond = (calls[0] + calls[1]) / 20.0;
        assertTrue(perSecond > 60 && perSecond < 130, perSecond + " calls a second of 100 that are borne");
        assertTrue(calls[1] > 2 * calls[0], calls[1] + " calls that save much, " + calls[0] + " that save little");
    }

    @Test
    void aCounterThatBearsAllHasAll() {
        int[] calls = calls(fleet(10), 1000, 20, 1, 4);
        assertEquals(10 * 20 * WISHES, calls[0] + calls[1], 100);
    }

    @Test
    void aCounterThatIsSilentIsAskedNowAndThenAndFoundAgain() {
        CallBudget[] fleet = fleet(10);
        calls(fleet, 1000, 10, 1, 4);
        calls(fleet, 1e-6, 20, 1, 4);
        int[] silent = calls(fleet, 1e-6, 10, 1, 4);
        assertTrue(silent[0] + silent[1] <= 10 * 10, silent[0] + silent[1] + " calls of ten gateways in 10 s");
        calls(fleet, 1000, 15, 1, 4);
        int[] back = calls(fleet, 1000, 10, 1, 4);
        assertTrue(back[0] + back[1] > 0.8 * 10 * 10 * WISHES, back[0] + back[1] + " calls of 500 once it is back");
    }
}
