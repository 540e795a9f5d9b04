package deckfall.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Short runs of a small fleet in virtual time. The tests check what was counted, never how long it took. */
class SimulationRunTest {
    private static final int COUNTER_RATE = 200;
    private static final int COUNTER_SHARDS = 2;

    private static final String[] FAULT_TEST_OPTIONS = {"--counter-rate", "20000", "--regions", "2", "--zones", "4"};

    private static String[] appendArguments(String[] first, String... more) {
        return Stream.concat(Stream.of(first), Stream.of(more)).toArray(String[]::new);
    }

    private static Map<String, Object> simulate(String... more) {
        List<String> arguments = new ArrayList<>(List.of(
                "--gateways",
                "10",
                "--servers",
                "20",
                "--tenants",
                "600",
                "--rps",
                "1000",
                "--seconds",
                "3",
                "--warm-up-seconds",
                "2",
                "--classes",
                "5",
                "--counter-rate",
                Integer.toString(COUNTER_RATE),
                "--counter-parts",
                Integer.toString(COUNTER_SHARDS)));
        arguments.addAll(List.of(more));
        SimulationOptions options = new SimulationOptions();
        new CommandLine(options).setOverwrittenOptionsAllowed(true).parseArgs(arguments.toArray(new String[0]));
        PrintStream discarded = new PrintStream(OutputStream.nullOutputStream());
        return options.report(discarded).figures();
    }

    private static long count(Map<String, Object> figures, String name) {
        return ((Number) figures.get(name)).longValue();
    }

    @Test
    void equalSeedsGiveEqualFiguresAndOtherSeedsDiffer() {
        Map<String, Object> figures = simulate("--seed", "3");
        assertEquals(figures, simulate("--seed", "3"));
        assertTrue(count(figures, "served") != count(simulate("--seed", "4"), "served"));
    }

    @Test
    void everyRequestHasExactlyOneOutcome() {
        Map<String, Object> figures = simulate();
        assertTrue(count(figures, "tries") > 2500, figures.toString());
        assertEquals(count(figures, "tries_all"), count(figures, "answers_all"));
        assertEquals(
                count(figures, "tries"),
                count(figures, "served") + count(figures, "refused") + count(figures, "failed"));
        assertEquals(0, count(figures, "unanswered") + count(figures, "no_gateway"));
    }

    /** In one second each shard may also end a call of the second before, and one of the next. */
    @Test
    void counterServesNoMoreThanItsRate() {
        Map<String, Object> figures = simulate();
        assertTrue(
                count(figures, "calls_busy") + count(figures, "calls_timeout") > 0,
                "the counter was never overloaded: " + figures);
        assertTrue(count(figures, "counter_served_in_second_max") <= COUNTER_RATE + COUNTER_SHARDS, figures.toString());
    }

    /** Without a call budget that holds for the whole fleet, most calls time out and quotas rest on estimates. */
    @Test
    void fleetAdaptsItsCallsToTheCounterRate() {
        Map<String, Object> figures = simulate("--warm-up-seconds", "5");
        long calls = count(figures, "calls");
        assertTrue(calls > 0.4 * 3 * COUNTER_RATE && calls < 1.1 * 3 * COUNTER_RATE, figures.toString());
        assertTrue(5 * (count(figures, "calls_busy") + count(figures, "calls_timeout")) < calls, figures.toString());
    }

    /** Simulates sets so wide that a gateway sees a customer only occasionally and calls for every other request. */
    private static Map<String, Object> simulateWideSets(String... more) {
        return simulate(appendArguments(
                new String[] {
                    "--gateways",
                    "40",
                    "--spread",
                    "40",
                    "--rps",
                    "300",
                    "--seconds",
                    "10",
                    "--warm-up-seconds",
                    "5",
                    "--counter-rate",
                    "250"
                },
                more));
    }

    @ParameterizedTest
    @CsvSource({"1", "2", "3"})
    void excessIsBoundedAtALowCounterRate(String seed) {
        Map<String, Object> figures = simulateWideSets("--seed", seed);
        assertTrue(((Number) figures.get("calls_per_try")).doubleValue() < 0.7, figures.toString());
        assertTrue(((Number) figures.get("over_quota_price")).doubleValue() < 0.15, figures.toString());
        assertTrue(count(figures, "served") > 1000, figures.toString());
    }

    private static double number(Map<String, Object> figures, String name) {
        return ((Number) figures.get(name)).doubleValue();
    }

    /**
     * The policy with full knowledge admits hardly any units beyond the quotas. A few remain because a request that
     * waits for a server takes its units later than the policy counts them.
     */
    @Test
    void referencePoliciesBoundTheDecisionModule() {
        Map<String, Object> figures = simulateWideSets("--references");
        assertTrue(number(figures, "all_seeing_over_quota_price") < 0.02, figures.toString());
        assertTrue(number(figures, "all_seeing_served_worth_share") > 0.97, figures.toString());
        assertTrue(
                number(figures, "late_seeing_over_quota_price") > number(figures, "all_seeing_over_quota_price"),
                figures.toString());
        assertEquals(
                number(figures, "over_quota_price") - number(figures, "late_seeing_over_quota_price"),
                number(figures, "over_quota_price_above_late_seeing"),
                1e-4);
        assertTrue(
                number(figures, "late_seeing_served_worth_share") > number(figures, "served_worth_share"),
                figures.toString());
    }

    /** Each fault has a figure that is above 0 with it and 0 without it. */
    @ParameterizedTest
    @CsvSource({
        "server-replaced:1:3, lists_told",
        "server-replaced:1:3, hosts_newly_used_per_gateway",
        "server-hanging:2:4, failed",
        "gateway-killed:2:2, no_gateway",
        "rack:2, lists_told",
        "zone:2, no_gateway",
        "zone:2:0, calls_timeout",
        "region-cut:2, calls_timeout",
        "counter-silent:1, calls_timeout",
        "counter-refusing:1, calls_refused",
        "counter-slow:1:100, calls_busy",
        "counter-empty:1, calls_timeout"
    })
    void faultIsVisibleAndEveryRequestHasAnOutcome(String fault, String figureName) {
        Map<String, Object> withoutFault = simulate(FAULT_TEST_OPTIONS);
        Map<String, Object> figures = simulate(appendArguments(FAULT_TEST_OPTIONS, "--fault", "0.5:" + fault));
        assertEquals(0, count(withoutFault, figureName));
        assertTrue(((Number) figures.get(figureName)).doubleValue() > 0, figures.toString());
        assertEquals(count(figures, "tries_all"), count(figures, "answers_all"));
        assertEquals(0, count(figures, "unanswered"));
    }

    @Test
    void releaseRestartsEveryGatewayWithoutLosingRequests() {
        Map<String, Object> figures = simulate("--fault", "0.5:release:1:5", "--fault", "2:gateway-replaced:0.2:3");
        assertEquals(10 + 10 + 3, count(figures, "gateways_started"));
        assertEquals(0, count(figures, "no_gateway") + count(figures, "unanswered"));
        assertEquals(count(figures, "tries_all"), count(figures, "answers_all"));
    }

    /** Changes during an outage of discovery are delivered in one list when it ends. */
    @Test
    void changesDuringADiscoveryOutageAreDeliveredTogether() {
        String[] replaced = {"--fault", "0.5:server-replaced:1:2", "--discovery-ms", "100"};
        long delivered = count(simulate(replaced), "lists_told");
        long deliveredAfterOutage =
                count(simulate(appendArguments(replaced, "--fault", "0.4:discovery-down:4")), "lists_told");
        assertEquals(4 * 10, delivered); // two starts and two ends, delivered to each gateway
        assertEquals(10, deliveredAfterOutage);
    }

    /** The gateway of a one-gateway set gets all requests of its customers, so its buckets match the exact ones. */
    @Test
    void oneGatewayPerCustomerEnforcesQuotasWithoutACounter() {
        Map<String, Object> figures = simulate("--spread", "1", "--counter-rate", "0");
        assertEquals(0, count(figures, "calls"));
        assertTrue(count(figures, "units_beyond") * 100 < count(figures, "units_sent"), figures.toString());
        assertTrue(count(figures, "refused_with_room") * 50 < count(figures, "tries"), figures.toString());
    }
}
