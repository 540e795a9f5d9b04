package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How long bytes may have waited for the event loop, turn by turn. */
class EventLoopLagTest {
    private static final boolean TASKS = true;

    private long nanos = 5;
    private final EventLoopLag delay = new EventLoopLag(() -> nanos);

    private void advance(long ms) {
        nanos += ms * 1_000_000;
    }

    private void iteration(boolean tasks) throws Exception {
        delay.calculateStrategy(() -> 1, tasks);
    }

    @Test
    void bytesReadAfterBlockingHaveNotWaited() throws Exception {
        iteration(!TASKS);
        advance(500);
        assertEquals(0, delay.observeDelayMs());
        iteration(!TASKS);
        advance(800);
        assertEquals(0, delay.observeDelayMs());
    }

    /** Requests that came while a turn took long were told to servers with the time that they had waited. */
    @Test
    void bytesMayHaveWaitedForAWholeLongIteration() throws Exception {
        iteration(!TASKS);
        advance(500);
        delay.observeDelayMs();
        advance(200); // in handling that
        iteration(!TASKS); // finds I/O at once
        assertEquals(200, delay.observeDelayMs());
        advance(30);
        assertEquals(230, delay.observeDelayMs());
    }

    @Test
    void iterationOfTasksAloneCountsAsDelay() throws Exception {
        iteration(TASKS);
        advance(150);
        iteration(TASKS);
        assertEquals(150, delay.observeDelayMs());
        iteration(!TASKS);
        advance(300); // slept, or did only what was due
        iteration(!TASKS);
        assertEquals(0, delay.observeDelayMs());
    }
}
