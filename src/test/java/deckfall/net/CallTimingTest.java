package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** When a change is heard of behind calls that failed, on a clock of the test's own. */
class CallTimingTest {
    private static final long DEADLINE_MS = 6000; // from when discovery had it and could be reached
    private static final long MARGIN_MS = 1000;
    private static final long SUCCESSFUL_CALL_MS =
            400; // what the connect and the call that tell may take on a busy core
    private static final long IMMEDIATE_FAILURE_MS = 50; // a call's end that is no silence
    private static final long MAX_OUTAGE_MS = 12_000;
    private static final long STEP_MS = 10;
    private static final int SEEDS = 5;

    private enum Failure {
        SILENT,
        HANGING_CONNECT,
        REFUSED,
        RESET,
        UNAVAILABLE
    }

    private static long failsAfterMs(Failure failure, CallTiming timing) {
        return switch (failure) {
            case SILENT -> timing.holdMs() + timing.timeoutMs();
            case HANGING_CONNECT -> timing.timeoutMs();
            case REFUSED, RESET, UNAVAILABLE -> IMMEDIATE_FAILURE_MS;
        };
    }

    /** From the end of a spell in which each call that begins fails, and one further call that fails, to the news. */
    private static long changeArrivesAfterMs(long outageMs, Failure outage, Failure further, long seed) {
        CallTiming timing = new CallTiming(new Random(seed));
        timing.onSuccess(); // the watch has been opened as the spell begins
        long now = 0;
        for (boolean over = false; !over; ) {
            over = now >= outageMs;
            now += failsAfterMs(over ? further : outage, timing);
            now += timing.delayAfterFailureMs();
        }
        return now + SUCCESSFUL_CALL_MS - outageMs;
    }

    @Test
    void changeArrivesInTimeAfterAnyFailures() {
        for (Failure outage : Failure.values()) {
            for (Failure further : Failure.values()) {
                for (long outageMs = 1; outageMs < MAX_OUTAGE_MS; outageMs += STEP_MS) {
                    for (int seed = 0; seed < SEEDS; seed++) {
                        long ms = changeArrivesAfterMs(outageMs, outage, further, seed);
                        assertTrue(
                                ms <= DEADLINE_MS - MARGIN_MS,
                                ms + " ms after " + outageMs + " ms of " + outage + " and " + further);
                    }
                }
            }
        }
    }

    /** A slow discovery is given more time in a while than one that was silent once, or it would never be heard. */
    @Test
    void repeatedFailuresLengthenSomeTimeouts() {
        CallTiming timing = new CallTiming(new Random(1));
        long first = timing.timeoutMs();
        timing.delayAfterFailureMs();
        assertEquals(first, timing.timeoutMs());
        timing.delayAfterFailureMs();
        assertTrue(timing.timeoutMs() > first);
        timing.onSuccess();
        assertEquals(first, timing.timeoutMs());
    }

    @Test
    void watchContinuesWhenEachResponseClosesItsConnection() {
        CallTiming timing = new CallTiming(new Random(1));
        for (int i = 0; i < 10; i++) {
            timing.onSuccess();
            assertTrue(timing.delayAfterCloseMs() <= 100);
            assertEquals(CallTiming.HOLD_MS, timing.holdMs());
        }
    }
}
