package deckfall.net;

import java.util.function.LongSupplier;

/**
 * How long calls of one kind have been failing in a row, in real time. A call that still matters is made again in the
 * loop's next turn; one that is not, as nothing waits for it, says nothing of the time until the next one.
 */
final class FailureStreak {
    private static final double NANOS_PER_MS = 1e6;
    private static final double MAX_GAP_MS = 50; // between two failures of one spell

    private final LongSupplier clockNanos;
    private boolean failing; // the last call has failed
    private long firstNanos;
    private long lastNanos;

    FailureStreak() {
        this(System::nanoTime);
    }

    FailureStreak(LongSupplier clockNanos) {
        this.clockNanos = clockNanos;
    }

    /** A call has failed; how many milliseconds ago the first one of the spell did. */
    double recordFailure() {
        boolean begins = !isActive();
        failing = true;
        lastNanos = clockNanos.getAsLong();
        if (begins) {
            firstNanos = lastNanos;
        }
        return (lastNanos - firstNanos) / NANOS_PER_MS;
    }

    /** A call has succeeded; how many milliseconds the spell that ends with it has taken, 0 where there was none. */
    double recordSuccess() {
        double ms = isActive() ? (clockNanos.getAsLong() - firstNanos) / NANOS_PER_MS : 0;
        failing = false;
        return ms;
    }

    /** Whether the last call has failed just now. */
    boolean isActive() {
        return failing && (clockNanos.getAsLong() - lastNanos) / NANOS_PER_MS < MAX_GAP_MS;
    }
}
