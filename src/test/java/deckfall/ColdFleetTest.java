package deckfall;

import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.ColdServerSimulation.Faults;
import deckfall.Gateway.Rules;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rule 4 for the sum of what thirty gateways send; GuardsTest has it for one gateway alone. */
class ColdFleetTest {
    private static final Rules LONG = new Rules(8, 250, 4, 2000, 0.15, 18_000, 10_000);
    private static final Rules SHORT = new Rules(8, 250, 2, 1000, 0.2, 10_000, 10_000);

    private static void play(Rules rules, int servers, int cold, Faults troubles) {
        for (long seed = 101; seed <= 103; seed++) {
            ColdServerSimulation fleet = new ColdServerSimulation(seed, rules, servers, cold, troubles).run();
            assertTrue(
                    fleet.peakBudgetUse > 0 && fleet.peakBudgetUse <= 1,
                    seed + ": " + fleet.peakBudgetUse + " of the budget");
            assertTrue(fleet.refused > 0, "no request found every place taken");
            assertTrue(troubles.failureRate() == 0 || fleet.retries > 0, "no further attempt");
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
    void whatAllGatewaysSendAColdServerStaysInItsBudget(
            int servers, int cold, double failing, double restarts, boolean allRestart, boolean twoProcesses) {
        play(LONG, servers, cold, new Faults(failing, restarts, allRestart, twoProcesses));
    }

    /** Further attempts draw anew, so the chances of a cold server add up where many fail or the window is short. */
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
    void itStaysInItsBudgetUnderManyFurtherAttempts(
            boolean longWindow, int servers, int cold, double failing, boolean all) {
        play(longWindow ? LONG : SHORT, servers, cold, new Faults(failing, 4, all, all));
    }
}
