package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which failed calls count as one streak. */
class FailureStreakTest {
    private long nanos;
    private final FailureStreak streak = new FailureStreak(() -> nanos);

    private void advanceMs(long ms) {
        nanos += ms * 1_000_000;
    }

    @Test
    void streakLastsFromFirstFailureToNextSuccess() {
        assertEquals(0, streak.recordFailure());
        advanceMs(30);
        assertEquals(30, streak.recordFailure());
        assertTrue(streak.isActive());
        advanceMs(20);
        assertEquals(50, streak.recordSuccess());
        assertFalse(streak.isActive());
        assertEquals(0, streak.recordSuccess());
    }

    /**
     * A read that failed with no data pending once made the client's next request, seconds later, overdue by as much.
     */
    @Test
    void oldFailureIsNotPartOfAStreak() {
        streak.recordFailure();
        advanceMs(3000);
        assertFalse(streak.isActive());
        assertEquals(0, streak.recordFailure());
        advanceMs(3000);
        assertEquals(0, streak.recordSuccess());
    }
}
