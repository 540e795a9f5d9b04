package deckfall.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.Gateway.Outcome;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The results of a run as a readable table and as one line of JSON. Figures follow from the arguments alone; costs
 * depend on the machine.
 */
final class Report {
    private static final int EXIT_FAILED = 1;

    private final SimulationOptions options;
    private final String runKind;
    private final Fleet fleet;
    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final Map<String, Object> costs;

    Report(SimulationOptions options, String runKind, Fleet fleet, Map<String, Object> costs) {
        this.options = options;
        this.runKind = runKind;
        this.fleet = fleet;
        this.costs = costs;
        addRequests();
        addQuotas();
        addCounter();
        addHosts();
    }

    Map<String, Object> figures() {
        return figures;
    }

    static double round(double value) {
        return value == 0 || !Double.isFinite(value)
                ? 0
                : new java.math.BigDecimal(value)
                        .round(new java.math.MathContext(5))
                        .doubleValue();
    }

    private void put(String name, double value) {
        figures.put(
                name,
                value == Math.rint(value) && Math.abs(value) < 1e15 ? (Object) (long) value : (Object) round(value));
    }

    private void addRequests() {
        RunStatistics statistics = fleet.statistics;
        put("tries_all", statistics.totalRequests);
        put("answers_all", statistics.totalEndedRequests);
        put("tries", statistics.requests);
        put("first_tries", statistics.firstRequests);
        for (RunStatistics.RequestOutcome outcome : RunStatistics.RequestOutcome.values()) {
            put(outcome.name().toLowerCase(java.util.Locale.ROOT), statistics.outcomes(outcome));
        }
        put("refused_advised", statistics.refusedWithRetryAfter);
        put("attempts", statistics.attempts);
        Histogram histogram = statistics.dispatchDelayMicros;
        put("added_ms_p50", histogram.getValueAtPercentile(50) / 1000.0);
        put("added_ms_p99", histogram.getValueAtPercentile(99) / 1000.0);
        put("added_ms_p99_9", histogram.getValueAtPercentile(99.9) / 1000.0);
    }

    private void addQuotas() {
        RunStatistics statistics = fleet.statistics;
        QuotaAccounting quotas = fleet.quotas;
        put("refused_with_room", quotas.refusedInQuota());
        put("refused_with_room_share", share(quotas.refusedInQuota(), statistics.requests));
        put("units_sent", quotas.unitsSent());
        put("units_beyond", quotas.excessUnits());
        put("units_beyond_share", share(quotas.excessUnits(), quotas.unitsSent()));
        put("over_quota_price", quotas.excessCostShare());
        put("served_worth_share", quotas.servedWorthShare());
        put("beyond_customers", quotas.excessWindows().customerCount());
        put("beyond_units_5s_largest", quotas.excessWindows().max());
        put("beyond_units_5s_mean", quotas.excessWindows().mean());
        put("lacking_customers", quotas.refusedInQuotaWindows().customerCount());
        put("lacking_units_5s_largest", quotas.refusedInQuotaWindows().max());
        put("lacking_units_5s_mean", quotas.refusedInQuotaWindows().mean());
    }

    /** Adds the results of a reference policy on the same requests, compared with those of the decision module. */
    void addReference(String name, Fleet reference) {
        QuotaAccounting quotas = reference.quotas;
        put(name + "_over_quota_price", quotas.excessCostShare());
        put(name + "_served_worth_share", quotas.servedWorthShare());
        put("over_quota_price_above_" + name, fleet.quotas.excessCostShare() - quotas.excessCostShare());
    }

    private void addCounter() {
        RunStatistics statistics = fleet.statistics;
        put("calls", statistics.calls());
        put("calls_per_second_mean", statistics.calls() / options.seconds);
        put("calls_per_second_max", statistics.perSecond.max(PerSecondTotals.Metric.CALLS));
        put("calls_per_try", share(statistics.calls(), statistics.requests));
        put("calls_per_second_gateway_max", statistics.maxGatewayCallsInSecond());
        for (RunStatistics.CallPurpose purpose : RunStatistics.CallPurpose.values()) {
            put(
                    "calls_" + purpose.name().toLowerCase(java.util.Locale.ROOT),
                    statistics.callsByPurpose.getOrDefault(purpose, 0L));
        }
        put("calls_ok", statistics.callOutcomes.getOrDefault(Outcome.OK, 0L));
        put("calls_busy", statistics.callOutcomes.getOrDefault(Outcome.FULL, 0L));
        put("calls_timeout", statistics.callOutcomes.getOrDefault(Outcome.TIMEOUT, 0L));
        put("calls_refused", statistics.callOutcomes.getOrDefault(Outcome.CONNECT_FAILED, 0L));
        SimulatedCounter counter = fleet.counter;
        put("counter_served_all", counter == null ? 0 : counter.served());
        put("counter_served_in_second_max", counter == null ? 0 : counter.maxServedInSecond());
        put("counter_names_at_end", counter == null ? 0 : counter.entryCount());
    }

    private void addHosts() {
        RunStatistics statistics = fleet.statistics;
        put("hosts_used_per_gateway", statistics.hostsUsed());
        put("hosts_used_before_change", statistics.hostsUsedBefore());
        put("hosts_newly_used_per_gateway", statistics.hostsNewlyUsed());
        put("attempts_outside_zone_share", share(statistics.crossZoneAttempts, statistics.attempts));
        put("gateways_started", fleet.gatewaysStarted());
        put("lists_told", fleet.discovery.listsDelivered());
    }

    private static double share(double part, double whole) {
        return whole > 0 ? part / whole : 0;
    }

    /** Prints the report, appends it to the JSON file if one is given, and returns the exit code. */
    int write(PrintStream out) {
        printTable(out, runKind.equals("hollow") ? "figures (from the arguments)" : "figures of the fleet", figures);
        printTable(out, "costs (of this machine)", costs);
        return options.jsonFile == null ? 0 : appendJson();
    }

    private static void printTable(PrintStream out, String title, Map<String, Object> rows) {
        out.println(title);
        rows.forEach((name, value) -> out.printf("  %-32s %16s%n", name, value));
    }

    private int appendJson() {
        Map<String, Object> line = new LinkedHashMap<>();
        Map<String, Object> arguments = options.arguments();
        arguments.remove("json");
        line.put("run", runKind);
        line.put("arguments", arguments);
        line.put("figures", figures);
        line.put("per_second", fleet.statistics.perSecond.toMap());
        line.put("costs", costs);
        try {
            String json = new ObjectMapper().writeValueAsString(line) + '\n';
            Files.writeString(
                    options.jsonFile.toPath(),
                    json,
                    StandardCharsets.UTF_8,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
            return 0;
        } catch (IOException e) {
            System.err.println("scale: can't write '" + options.jsonFile + "': " + e.getMessage());
            return EXIT_FAILED;
        }
    }
}
