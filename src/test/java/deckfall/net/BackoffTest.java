package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** How a fleet comes back to a service that has turned it away. */
class BackoffTest {
    private static final int FLEET = 48;

    @Test
    void waitsGrowToTheirBoundAndStartAnew() {
        Backoff b = new Backoff(80, 1500, new Random(1));
        assertTrue(b.nextDelayMs() <= 80);
        long longest = 0;
        for (int i = 0; i < 100; i++) {
            longest = Math.max(longest, b.nextDelayMs());
        }
        assertTrue(longest > 750 && longest <= 1500, longest + " ms");
        b.reset();
        assertTrue(b.nextDelayMs() <= 80);
    }

    @Test
    void gatewaysThatFailedTogetherDoNotComeBackTogether() {
        Set<Long> second = new TreeSet<>();
        for (int i = 0; i < FLEET; i++) {
            Backoff b = new Backoff(80, 1500, new Random(i));
            second.add(b.nextDelayMs() + b.nextDelayMs());
        }
        assertTrue(second.size() > FLEET / 2, second.toString());
    }
}
