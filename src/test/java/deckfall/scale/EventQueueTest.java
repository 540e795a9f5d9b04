package deckfall.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the order in which events run. */
class EventQueueTest {
    private static final int EVENTS = 10_000; // more than the initial capacity of the queue

    @Test
    void eventsRunByTimeAndThenInSchedulingOrder() {
        EventQueue queue = new EventQueue();
        Random random = new Random(1);
        List<long[]> ran = new ArrayList<>();
        for (int i = 0; i < EVENTS; i++) {
            long sequenceNumber = i;
            long timeMs = random.nextInt(100);
            queue.scheduleAt(timeMs, () -> ran.add(new long[] {timeMs, sequenceNumber}));
        }
        queue.runUntil(100);
        assertEquals(EVENTS, ran.size());
        List<long[]> sorted = new ArrayList<>(ran);
        sorted.sort((a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
        assertEquals(sorted, ran); // the same arrays in the same order
    }

    @Test
    void eventScheduledInThePastRunsAtTheCurrentTime() {
        EventQueue queue = new EventQueue();
        List<Double> runTimesMs = new ArrayList<>();
        queue.scheduleAt(5, () -> queue.scheduleAt(1, () -> runTimesMs.add(queue.now())));
        queue.runUntil(4);
        queue.runUntil(10);
        assertEquals(List.of(5.0), runTimesMs);
        assertEquals(10, queue.now());
    }
}
