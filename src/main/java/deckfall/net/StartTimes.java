package deckfall.net;

import java.util.StringJoiner;

/** How long each part of a start took, one behind another from the call of {@code main}: told in one line. */
final class StartTimes {
    private final Clock clock;
    private final double beganMs;
    private final StringJoiner parts = new StringJoiner(", ");
    private double partMs; // when the present part began

    StartTimes(Clock clock) {
        this.clock = clock;
        this.beganMs = clock.now();
        this.partMs = beganMs;
    }

    /** The part that has just ended. */
    void ended(String part) {
        double now = clock.now();
        parts.add(part + ' ' + Math.round(now - partMs));
        partMs = now;
    }

    String line() {
        return "ready in " + Math.round(partMs - beganMs) + " ms: " + parts;
    }
}
