package deckfall.scale;

/**
 * Stateless random numbers: what is drawn for a customer or a request depends only on the seed and on its number, not
 * on the order of the draws. Two versions of the decision module thus get the same clients and the same service times.
 */
final class HashRandom {
    private static final double DOUBLE_UNIT = 0x1.0p-53;
    private static final int MANTISSA_SHIFT = 11;

    private HashRandom() {}

    /** Hashes two numbers to 64 bits, with the finalizer of SplitMix64. */
    static long mix(long seed, long index) {
        long hash = seed * 0x9E3779B97F4A7C15L + index;
        hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
        return hash ^ hash >>> 31;
    }

    /** Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
    static double uniform(long seed, long index) {
        return (mix(seed, index) >>> MANTISSA_SHIFT) * DOUBLE_UNIT;
    }

    /** Returns a uniformly distributed number between two bounds. */
    static double uniformBetween(double from, double to, long seed, long index) {
        return from + (to - from) * uniform(seed, index);
    }

    /** Returns an exponentially distributed number with a mean of 1. */
    static double exponential(long seed, long index) {
        return -Math.log(1 - uniform(seed, index));
    }
}
