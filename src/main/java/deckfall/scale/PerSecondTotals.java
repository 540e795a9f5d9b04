package deckfall.scale;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Totals of each second of the measured period, which show the onset of a fault and the recovery from it. */
final class PerSecondTotals {
    /** The quantities that are totalled, named in reports in lower case. */
    enum Metric {
        TRIES,
        SERVED,
        REFUSED,
        REFUSED_WITH_ROOM,
        UNITS_SENT,
        UNITS_BEYOND,
        CALLS,
        CALLS_OK
    }

    private final double startMs;
    private final long[][] totals;

    PerSecondTotals(double startMs, int seconds) {
        this.startMs = startMs;
        totals = new long[Metric.values().length][seconds];
    }

    void add(Metric metric, double nowMs, long amount) {
        int second = (int) Math.floor((nowMs - startMs) / 1000);
        if (second >= 0 && second < totals[0].length) {
            totals[metric.ordinal()][second] += amount;
        }
    }

    long max(Metric metric) {
        long max = 0;
        for (long total : totals[metric.ordinal()]) {
            max = Math.max(max, total);
        }
        return max;
    }

    Map<String, long[]> toMap() {
        Map<String, long[]> totalsByName = new LinkedHashMap<>();
        for (Metric metric : Metric.values()) {
            totalsByName.put(metric.name().toLowerCase(Locale.ROOT), totals[metric.ordinal()]);
        }
        return totalsByName;
    }
}
