package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests how long bytes may have waited for the event loop, iteration by iteration. */
class EventLoopLagTest {
    private static final boolean TASKS = true;

    private long nanos = 5;
    private final EventLoopLag lag = new EventLoopLag(() -> nanos);

    private void advance(long ms) {
        nanos += ms * 1_000_000;
    }

    private void startIteration(boolean tasks) throws Exception {
        lag.calculateStrategy(() -> 1, tasks);
    }

    @Test
    void bytesReadAfterBlockingHaveNotWaited() throws Exception {
        startIteration(!TASKS);
        advance(500);
        assertEquals(0, lag.observeDelayMs());
        startIteration(!TASKS);
        advance(800);
        assertEquals(0, lag.observeDelayMs());
    }

    /**
     * The remaining time sent to hosts did not exclude the time for which a request had waited during a long iteration.
     */
    @Test
    void bytesMayHaveWaitedForAWholeLongIteration() throws Exception {
        startIteration(!TASKS);
        advance(500);
        lag.observeDelayMs();
        advance(200); // while handling the I/O
        startIteration(!TASKS); // finds I/O without blocking
        assertEquals(200, lag.observeDelayMs());
        advance(30);
        assertEquals(230, lag.observeDelayMs());
    }

    @Test
    void iterationOfTasksAloneCountsAsLag() throws Exception {
        startIteration(TASKS);
        advance(150);
        startIteration(TASKS);
        assertEquals(150, lag.observeDelayMs());
        startIteration(!TASKS);
        advance(300); // blocked, or only ran what was due
        startIteration(!TASKS);
        assertEquals(0, lag.observeDelayMs());
    }
}
