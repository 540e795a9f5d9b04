package deckfall.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The order of events. */
class EventQueueTest {
    private static final int EVENTS = 10_000; // more than the queue's first size

    @Test
    void eventsRunByTimeAndThenAsTheyWerePlaced() {
        EventQueue queue = new EventQueue();
        Random random = new Random(1);
        List<long[]> ran = new ArrayList<>();
        for (int i = 0; i < EVENTS; i++) {
            long placed = i;
            long at = random.nextInt(100);
            queue.at(at, () -> ran.add(new long[] {at, placed}));
        }
        queue.runTo(100);
        assertEquals(EVENTS, ran.size());
        List<long[]> sorted = new ArrayList<>(ran);
        sorted.sort((a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
        assertEquals(sorted, ran); // the same arrays in the same places
    }

    @Test
    void whatAnEventPlacesInThePastRunsAtItsOwnTime() {
        EventQueue queue = new EventQueue();
        List<Double> times = new ArrayList<>();
        queue.at(5, () -> queue.at(1, () -> times.add(queue.now())));
        queue.runTo(4);
        queue.runTo(10);
        assertEquals(List.of(5.0), times);
        assertEquals(10, queue.now());
    }
}
