package deckfall.net;

import java.util.Random;

/** Waits before further tries: longer with each failure up to a bound, and spread, so that a herd does not stay one. */
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

    /** Between half of the present span and all of it; the next span is twice as long. */
    long nextDelayMs() {
        long delayMs = currentMs / 2 + random.nextInt((int) (currentMs - currentMs / 2) + 1);
        currentMs = Math.min(maxMs, 2 * currentMs);
        return delayMs;
    }

    void reset() {
        currentMs = minMs;
    }
}
