package deckfall.scale;

/**
 * Chance by number, not by turn: what is drawn for a customer or a try depends on the seed and on its number alone,
 * so that two versions of the module meet the same clients and the same service times.
 */
final class Chance {
    private static final double UNIT = 0x1.0p-53;
    private static final int UNIT_SHIFT = 11;

    private Chance() {}

    static long mixed(long a, long b) {
        long h = a * 0x9E3779B97F4A7C15L + b;
        h = (h ^ h >>> 30) * 0xBF58476D1CE4E5B9L;
        h = (h ^ h >>> 27) * 0x94D049BB133111EBL;
        return h ^ h >>> 31;
    }

    /** From 0, below 1. */
    static double uniform(long a, long b) {
        return (mixed(a, b) >>> UNIT_SHIFT) * UNIT;
    }

    static double between(double from, double to, long a, long b) {
        return from + (to - from) * uniform(a, b);
    }

    /** With a mean of 1. */
    static double exponential(long a, long b) {
        return -Math.log(1 - uniform(a, b));
    }
}
