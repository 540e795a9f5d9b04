package deckfall.net;

import java.util.Random;

/**
 * Exponential backoff with jitter: delays grow with each failure up to a maximum and are spread at random, so that
 * clients which failed together do not retry together.
 */
final class Backoff {
    private final long minMs;
    private final long maxMs;
    private final Random random;
    private long currentMs;

    Backoff(long minMs, long maxMs, Random random) {
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.random = random;
        this.currentMs = minMs;
    }

    /** Returns a delay between half of the current bound and all of it, and doubles the bound for the next call. */
    long nextDelayMs() {
        long delayMs = currentMs / 2 + random.nextInt((int) (currentMs - currentMs / 2) + 1);
        currentMs = Math.min(maxMs, 2 * currentMs);
        return delayMs;
    }

    /** Starts again with the minimum, after a success. */
    void reset() {
        currentMs = minMs;
    }
}
