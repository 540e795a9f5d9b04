package deckfall;

import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.ColdServerSimulation.Faults;
import deckfall.Gateway.Rules;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks rule 4, the limit of attempts to a cold server, for the sum over thirty gateways. RequestRulesTest checks it
 * for a single gateway.
 */
class ColdServerBudgetTest {
    private static final Rules LONG_WINDOW = new Rules(8, 250, 4, 2000, 0.15, 18_000, 10_000);
    private static final Rules SHORT_WINDOW = new Rules(8, 250, 2, 1000, 0.2, 10_000, 10_000);

    private static void assertWithinBudget(Rules rules, int servers, int cold, Faults faults) {
        for (long seed = 101; seed <= 103; seed++) {
            ColdServerSimulation simulation = new ColdServerSimulation(seed, rules, servers, cold, faults).run();
            assertTrue(
                    simulation.peakBudgetUse > 0 && simulation.peakBudgetUse <= 1,
                    seed + ": " + simulation.peakBudgetUse + " of the budget");
            assertTrue(simulation.refused > 0, "no request was refused for lack of capacity");
            assertTrue(faults.failureRate() == 0 || simulation.retries > 0, "no request was retried");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "8, 4, 0, 0, false, false",
        "20, 19, 0, 0, true, false",
        "20, 19, 0, 0, false, true",
        "60, 57, 0.3, 4, true, true",
        "8, 7, 0.75, 4, false, false",
        "20, 10, 0.75, 4, true, true",
        "20, 19, 0.75, 4, true, true"
    })
    void attemptsToAColdServerStayWithinItsBudget(
            int servers,
            int cold,
            double failureRate,
            double restartsPerSecond,
            boolean allGatewaysRestart,
            boolean twoProcesses) {
        assertWithinBudget(
                LONG_WINDOW,
                servers,
                cold,
                new Faults(failureRate, restartsPerSecond, allGatewaysRestart, twoProcesses));
    }

    /**
     * Known to fail: each retry draws its candidate hosts again, so the chances of a cold server add up if many
     * attempts fail or if the window is short.
     */
    @Tag("known-red")
    @ParameterizedTest
    @CsvSource({
        "true, 8, 7, 0.9, false",
        "true, 20, 10, 0.9, true",
        "true, 20, 19, 0.9, true",
        "true, 60, 57, 0.9, true",
        "false, 8, 7, 0.3, true",
        "false, 20, 10, 0.9, true",
        "false, 20, 19, 0.9, true",
        "false, 60, 57, 0.9, true"
    })
    void attemptsToAColdServerStayWithinItsBudgetUnderManyRetries(
            boolean longWindow, int servers, int cold, double failureRate, boolean allGatewaysRestart) {
        assertWithinBudget(
                longWindow ? LONG_WINDOW : SHORT_WINDOW,
                servers,
                cold,
                new Faults(failureRate, 4, allGatewaysRestart, allGatewaysRestart));
    }
}
