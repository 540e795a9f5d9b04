package deckfall.scale;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Latencies of requests through real gateways, each paired with that of an equal request sent to a seat server
 * directly.
 */
final class PairedLatencies {
    private static final long MAX_LATENCY_US = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    final Histogram gatewayMicros = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    final Histogram directMicros = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    final Histogram addedMicros =
            new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS); // per pair; negative ones count as 0
    private final Map<RunStatistics.RequestOutcome, Long> outcomes = new EnumMap<>(RunStatistics.RequestOutcome.class);

    void add(double gatewayMs, double directMs) {
        gatewayMicros.recordValue(Math.round(1000 * gatewayMs));
        directMicros.recordValue(Math.round(1000 * directMs));
        addedMicros.recordValue(Math.max(0, Math.round(1000 * (gatewayMs - directMs))));
    }

    void requestEnded(ClientRequest request, RunStatistics.RequestOutcome outcome) {
        if (request.measured) {
            outcomes.merge(outcome, 1L, Long::sum);
        }
    }

    long outcomes(RunStatistics.RequestOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }
}
