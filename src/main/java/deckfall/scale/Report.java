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
 * The results of a run as a table to read and as one line of JSON. Figures follow from the arguments alone; costs
 * are those of the machine.
 */
final class Report {
    private static final int FAILED = 1;

    private final SimulationOptions options;
    private final String run;
    private final Fleet fleet;
    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final Map<String, Object> costs;

    Report(SimulationOptions options, String run, Fleet fleet, Map<String, Object> costs) {
        this.options = options;
        this.run = run;
        this.fleet = fleet;
        this.costs = costs;
        tries();
        quotas();
        counter();
        hosts();
    }

    Map<String, Object> figures() {
        return figures;
    }

    static double rounded(double value) {
        return value == 0 || !Double.isFinite(value)
                ? 0
                : new java.math.BigDecimal(value)
                        .round(new java.math.MathContext(5))
                        .doubleValue();
    }

    private void put(String name, double value) {
        figures.put(
                name,
                value == Math.rint(value) && Math.abs(value) < 1e15 ? (Object) (long) value : (Object) rounded(value));
    }

    private void tries() {
        RunStatistics f = fleet.statistics;
        put("tries_all", f.totalRequests);
        put("answers_all", f.totalAnswers);
        put("tries", f.requests);
        put("first_tries", f.firstRequests);
        for (RunStatistics.RequestOutcome end : RunStatistics.RequestOutcome.values()) {
            put(end.name().toLowerCase(java.util.Locale.ROOT), f.outcomes(end));
        }
        put("refused_advised", f.refusedWithRetryAfter);
        put("attempts", f.attempts);
        Histogram h = f.dispatchDelayMicros;
        put("added_ms_p50", h.getValueAtPercentile(50) / 1000.0);
        put("added_ms_p99", h.getValueAtPercentile(99) / 1000.0);
        put("added_ms_p99_9", h.getValueAtPercentile(99.9) / 1000.0);
    }

    private void quotas() {
        RunStatistics f = fleet.statistics;
        QuotaAccounting q = fleet.quotas;
        put("refused_with_room", q.refusedInQuota());
        put("refused_with_room_share", share(q.refusedInQuota(), f.requests));
        put("units_sent", q.unitsSent());
        put("units_beyond", q.unitsOverQuota());
        put("units_beyond_share", share(q.unitsOverQuota(), q.unitsSent()));
        put("over_quota_price", q.overQuotaCostShare());
        put("served_worth_share", q.servedWorthShare());
        put("beyond_customers", q.overQuotaWindows().customerCount());
        put("beyond_units_5s_largest", q.overQuotaWindows().max());
        put("beyond_units_5s_mean", q.overQuotaWindows().mean());
        put("lacking_customers", q.refusedInQuotaWindows().customerCount());
        put("lacking_units_5s_largest", q.refusedInQuotaWindows().max());
        put("lacking_units_5s_mean", q.refusedInQuotaWindows().mean());
    }

    /** How a reference policy did on the same tries, beside the module. */
    void addReference(String name, Fleet reference) {
        QuotaAccounting q = reference.quotas;
        put(name + "_over_quota_price", q.overQuotaCostShare());
        put(name + "_served_worth_share", q.servedWorthShare());
        put("over_quota_price_above_" + name, fleet.quotas.overQuotaCostShare() - q.overQuotaCostShare());
    }

    private void counter() {
        RunStatistics f = fleet.statistics;
        put("calls", f.totalCalls());
        put("calls_per_second_mean", f.totalCalls() / options.seconds);
        put("calls_per_second_max", f.perSecond.max(PerSecondTotals.Metric.CALLS));
        put("calls_per_try", share(f.totalCalls(), f.requests));
        put("calls_per_second_gateway_max", f.maxGatewayCallsInSecond());
        for (RunStatistics.CallPurpose call : RunStatistics.CallPurpose.values()) {
            put("calls_" + call.name().toLowerCase(java.util.Locale.ROOT), f.callsByPurpose.getOrDefault(call, 0L));
        }
        put("calls_ok", f.callOutcomes.getOrDefault(Outcome.OK, 0L));
        put("calls_busy", f.callOutcomes.getOrDefault(Outcome.FULL, 0L));
        put("calls_timeout", f.callOutcomes.getOrDefault(Outcome.TIMEOUT, 0L));
        put("calls_refused", f.callOutcomes.getOrDefault(Outcome.CONNECT_FAILED, 0L));
        SimulatedCounter counter = fleet.counter;
        put("counter_served_all", counter == null ? 0 : counter.served());
        put("counter_served_in_second_max", counter == null ? 0 : counter.maxServedInSecond());
        put("counter_names_at_end", counter == null ? 0 : counter.entryCount());
    }

    private void hosts() {
        RunStatistics f = fleet.statistics;
        put("hosts_used_per_gateway", f.hostsUsed());
        put("hosts_used_before_change", f.hostsUsedBefore());
        put("hosts_newly_used_per_gateway", f.hostsNewlyUsed());
        put("attempts_outside_zone_share", share(f.crossZoneAttempts, f.attempts));
        put("gateways_started", fleet.gatewaysStarted());
        put("lists_told", fleet.discovery.listsDelivered());
    }

    private static double share(double part, double whole) {
        return whole > 0 ? part / whole : 0;
    }

    /** The exit code. */
    int write(PrintStream out) {
        table(out, run.equals("hollow") ? "figures, by the seed alone" : "figures of the fleet", figures);
        table(out, "costs, of this machine", costs);
        return options.jsonFile == null ? 0 : append();
    }

    private static void table(PrintStream out, String title, Map<String, Object> rows) {
        out.println(title);
        rows.forEach((name, value) -> out.printf("  %-32s %16s%n", name, value));
    }

    private int append() {
        Map<String, Object> line = new LinkedHashMap<>();
        Map<String, Object> arguments = options.arguments();
        arguments.remove("json");
        line.put("run", run);
        line.put("arguments", arguments);
        line.put("figures", figures);
        line.put("per_second", fleet.statistics.perSecond.toMap());
        line.put("costs", costs);
        try {
            String text = new ObjectMapper().writeValueAsString(line) + '\n';
            Files.writeString(
                    options.jsonFile.toPath(),
                    text,
                    StandardCharsets.UTF_8,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
            return 0;
        } catch (IOException e) {
            System.err.println("scale: can't write '" + options.jsonFile + "': " + e.getMessage());
            return FAILED;
        }
    }
}
