package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What a start's line tells. */
class StartTimesTest {
    @Test
    void eachPartIsTimedFromTheEndOfTheOneBefore() {
        ManualClock clock = new ManualClock();
        clock.frozen = true;
        StartTimes times = new StartTimes(clock);
        clock.offsetMs = 90;
        times.ended("configuration");
        times.ended("operator");
        clock.offsetMs = 300;
        times.ended("warm-up");
        clock.offsetMs = 400;
        assertEquals("ready in 300 ms: configuration 90, operator 0, warm-up 210", times.line());
    }
}
