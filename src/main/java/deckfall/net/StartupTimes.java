package deckfall.net;

import java.util.StringJoiner;

/** Measures how long each phase of startup takes, from the call of {@code main} on, for one log line. */
final class StartupTimes {
    private final Clock clock;
    private final double startMs;
    private final StringJoiner phases = new StringJoiner(", ");
    private double phaseStartMs; // when the current phase began

    StartupTimes(Clock clock) {
        this.clock = clock;
        this.startMs = clock.now();
        this.phaseStartMs = startMs;
    }

    /** Records that a phase has just ended; the next one starts now. */
    void phaseEnded(String phase) {
        double now = clock.now();
        phases.add(phase + ' ' + Math.round(now - phaseStartMs));
        phaseStartMs = now;
    }

    String summary() {
        return "ready in " + Math.round(phaseStartMs - startMs) + " ms: " + phases;
    }
}
