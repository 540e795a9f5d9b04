package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the log line with the durations of the startup phases. */
class StartupTimesTest {
    @Test
    void eachPhaseIsTimedFromTheEndOfThePreviousOne() {
        ManualClock clock = new ManualClock();
        clock.frozen = true;
        StartupTimes times = new StartupTimes(clock);
        clock.offsetMs = 90;
        times.phaseEnded("configuration");
        times.phaseEnded("operator");
        clock.offsetMs = 300;
        times.phaseEnded("warm-up");
        clock.offsetMs = 400;
        assertEquals("ready in 300 ms: configuration 90, operator 0, warm-up 210", times.summary());
    }
}
