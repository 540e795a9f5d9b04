package deckfall.scale;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Times of requests through real gateways beside those of their twins, which went to a seat server directly. */
final class PairedTimes {
    private static final long LONGEST_US = 3_600_000_000L;
    private static final int DIGITS = 3;

    final Histogram viaMicros = new Histogram(LONGEST_US, DIGITS);
    final Histogram directMicros = new Histogram(LONGEST_US, DIGITS);
    final Histogram addedMicros = new Histogram(LONGEST_US, DIGITS); // of each pair; less than nothing counts as 0
    private final Map<RunStatistics.RequestOutcome, Long> ends = new EnumMap<>(RunStatistics.RequestOutcome.class);

    void add(double viaMs, double directMs) {
        viaMicros.recordValue(Math.round(1000 * viaMs));
        directMicros.recordValue(Math.round(1000 * directMs));
        addedMicros.recordValue(Math.max(0, Math.round(1000 * (viaMs - directMs))));
    }

    void ended(ClientRequest t, RunStatistics.RequestOutcome end) {
        if (t.measured) {
            ends.merge(end, 1L, Long::sum);
        }
    }

    long ends(RunStatistics.RequestOutcome end) {
        return ends.getOrDefault(end, 0L);
    }
}
