package deckfall.net;

/** How long calls of one kind have been failing in a row, in real time. */
final class FailureSpell {
    private static final double NANOS_PER_MS = 1e6;

    private boolean on;
    private long sinceNanos;

    /** A call has failed; how many milliseconds ago the first one of the spell did. */
    double failed() {
        if (!on) {
            on = true;
            sinceNanos = System.nanoTime();
        }
        return lengthMs();
    }

    /** A call has succeeded; how many milliseconds the spell that ends with it has taken, 0 where there was none. */
    double over() {
        double ms = lengthMs();
        on = false;
        return ms;
    }

    /** Whether the last call has failed. */
    boolean on() {
        return on;
    }

    private double lengthMs() {
        return on ? (System.nanoTime() - sinceNanos) / NANOS_PER_MS : 0;
    }
}
