package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What a start's line tells. */
class StartTimesTest {
    @Test
    void eachPartIsTimedFromTheEndOfTheOneBefore() {
        Hand clock = new Hand();
        clock.stands = true;
        StartTimes times = new StartTimes(clock);
        clock.aheadMs = 90;
        times.ended("configuration");
        times.ended("operator");
        clock.aheadMs = 300;
        times.ended("warm-up");
        clock.aheadMs = 400;
        assertEquals("ready in 300 ms: configuration 90, operator 0, warm-up 210", times.line());
    }
}
