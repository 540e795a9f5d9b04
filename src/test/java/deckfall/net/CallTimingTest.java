package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests when a change arrives after failed calls, in simulated time. */
class CallTimingTest {
    private static final long DEADLINE_MS = 6000; // from when discovery had the change and could be reached
    private static final long MARGIN_MS = 1000;
    private static final long SUCCESSFUL_CALL_MS = 400; // what the successful connect and call may take on a busy core
    private static final long IMMEDIATE_FAILURE_MS = 50; // a failure that is reported at once, without a timeout
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

    /**
     * The time from the end of an outage until the change arrives. Each call that starts during the outage fails, and
     * so does one further call after it.
     */
    private static long changeArrivesAfterMs(long outageMs, Failure outageFailure, Failure furtherFailure, long seed) {
        CallTiming timing = new CallTiming(new Random(seed));
        timing.onSuccess(); // the watch is open when the outage begins
        long now = 0;
        for (boolean outageOver = false; !outageOver; ) {
            outageOver = now >= outageMs;
            now += failsAfterMs(outageOver ? furtherFailure : outageFailure, timing);
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

    /**
     * Some calls of an outage have a longer timeout than a first failure, or calls to a slow discovery would never
     * succeed.
     */
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
