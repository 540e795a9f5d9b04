package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How long bytes may have waited for the event loop, turn by turn. */
class EventLoopLagTest {
    private static final boolean TASKS = true;

    private long nanos = 5;
    private final EventLoopLag delay = new EventLoopLag(() -> nanos);

    private void pass(long ms) {
        nanos += ms * 1_000_000;
    }

    private void turn(boolean tasks) throws Exception {
        delay.calculateStrategy(() -> 1, tasks);
    }

    @Test
    void aLoopThatSleptHandsOnWhatHasJustCome() throws Exception {
        turn(!TASKS);
        pass(500);
        assertEquals(0, delay.observeDelayMs());
        turn(!TASKS);
        pass(800);
        assertEquals(0, delay.observeDelayMs());
    }

    /** Requests that came while a turn took long were told to servers with the time that they had waited. */
    @Test
    void whatCameDuringALongTurnMayHaveWaitedForAllOfIt() throws Exception {
        turn(!TASKS);
        pass(500);
        delay.observeDelayMs();
        pass(200); // in handling that
        turn(!TASKS); // finds I/O at once
        assertEquals(200, delay.observeDelayMs());
        pass(30);
        assertEquals(230, delay.observeDelayMs());
    }

    @Test
    void aTurnOfTasksAloneCountsAsWell() throws Exception {
        turn(TASKS);
        pass(150);
        turn(TASKS);
        assertEquals(150, delay.observeDelayMs());
        turn(!TASKS);
        pass(300); // slept, or did only what was due
        turn(!TASKS);
        assertEquals(0, delay.observeDelayMs());
    }
}
