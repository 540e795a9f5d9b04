package deckfall.net;

import java.util.function.LongSupplier;

/**
 * Measures how long calls of one kind have been failing in a row, in real time. A call that is still needed is retried
 * in the next iteration of the event loop. A failed call that is not retried, as nothing waits for it, says nothing
 * about the time until the next call.
 */
final class FailureStreak {
    private static final double NANOS_PER_MS = 1e6;
    private static final double MAX_GAP_MS = 50; // between two failures of one streak

    private final LongSupplier clockNanos;
    private boolean failing; // whether the last call failed
    private long firstNanos;
    private long lastNanos;

    FailureStreak() {
        this(System::nanoTime);
    }

    FailureStreak(LongSupplier clockNanos) {
        this.clockNanos = clockNanos;
    }

    /** Records a failed call; returns the milliseconds since the first failure of the streak. */
    double recordFailure() {
        boolean begins = !isActive();
        failing = true;
        lastNanos = clockNanos.getAsLong();
        if (begins) {
            firstNanos = lastNanos;
        }
        return (lastNanos - firstNanos) / NANOS_PER_MS;
    }

    /**
     * Records a successful call; returns the length in milliseconds of the streak that it ends, or 0 if there was none.
     */
    double recordSuccess() {
        double ms = isActive() ? (clockNanos.getAsLong() - firstNanos) / NANOS_PER_MS : 0;
        failing = false;
        return ms;
    }

    /** Whether the last call failed, within the maximum gap before now. */
    boolean isActive() {
        return failing && (clockNanos.getAsLong() - lastNanos) / NANOS_PER_MS < MAX_GAP_MS;
    }
}
