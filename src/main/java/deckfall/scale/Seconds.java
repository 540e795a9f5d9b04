package deckfall.scale;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** What happened in each second of the measured time: how a fault shows, and how it passes. */
final class Seconds {
    /** What is added up. */
    enum Sum {
        TRIES,
        SERVED,
        REFUSED,
        REFUSED_WITH_ROOM,
        UNITS_SENT,
        UNITS_BEYOND,
        CALLS,
        CALLS_OK
    }

    private final double fromMs;
    private final long[][] sums;

    Seconds(double fromMs, int seconds) {
        this.fromMs = fromMs;
        sums = new long[Sum.values().length][seconds];
    }

    void add(Sum sum, double nowMs, long amount) {
        int second = (int) Math.floor((nowMs - fromMs) / 1000);
        if (second >= 0 && second < sums[0].length) {
            sums[sum.ordinal()][second] += amount;
        }
    }

    long most(Sum sum) {
        long most = 0;
        for (long n : sums[sum.ordinal()]) {
            most = Math.max(most, n);
        }
        return most;
    }

    Map<String, long[]> all() {
        Map<String, long[]> all = new LinkedHashMap<>();
        for (Sum sum : Sum.values()) {
            all.put(sum.name().toLowerCase(Locale.ROOT), sums[sum.ordinal()]);
        }
        return all;
    }
}
