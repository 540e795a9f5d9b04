package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ReceiveTimesTest {
    private final ReceiveTimes times = new ReceiveTimes();

    @Test
    void bytesHaveTheTimeOfTheReadThatBroughtThem() {
        times.received(100, 1);
        times.received(100, 2);
        assertEquals(1, times.lastDecoded(100));
        assertEquals(2, times.lastDecoded(99));
        assertEquals(2, times.lastDecoded(0));
        times.received(10, 3);
        assertEquals(3, times.lastDecoded(0));
    }

    /** A head that comes in many pieces was received with its last one. */
    @Test
    void theLatestTimesAreKept() {
        for (int i = 1; i <= 1000; i++) {
            times.received(1, i);
        }
        assertEquals(1, times.lastDecoded(999));
        assertEquals(999, times.lastDecoded(1));
        assertEquals(1000, times.lastDecoded(0));
    }
}
