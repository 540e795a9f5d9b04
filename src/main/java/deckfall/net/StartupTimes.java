package deckfall.net;

import java.util.StringJoiner;

/** How long each part of a start took, one behind another from the call of {@code main}: told in one line. */
final class StartupTimes {
    private final Clock clock;
    private final double startMs;
    private final StringJoiner phases = new StringJoiner(", ");
    private double phaseStartMs; // when the present part began

    StartupTimes(Clock clock) {
        this.clock = clock;
        this.startMs = clock.now();
        this.phaseStartMs = startMs;
    }

    /** The part that has just ended. */
    void phaseEnded(String phase) {
        double now = clock.now();
        phases.add(phase + ' ' + Math.round(now - phaseStartMs));
        phaseStartMs = now;
    }

    String summary() {
        return "ready in " + Math.round(phaseStartMs - startMs) + " ms: " + phases;
    }
}
