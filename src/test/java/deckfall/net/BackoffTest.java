package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests how gateways retry after failures. */
class BackoffTest {
    private static final int GATEWAYS = 48;

    @Test
    void delaysGrowToTheMaximumAndReset() {
        Backoff backoff = new Backoff(80, 1500, new Random(1));
        assertTrue(backoff.nextDelayMs() <= 80);
        long longest = 0;
        for (int i = 0; i < 100; i++) {
            longest = Math.max(longest, backoff.nextDelayMs());
        }
        assertTrue(longest > 750 && longest <= 1500, longest + " ms");
        backoff.reset();
        assertTrue(backoff.nextDelayMs() <= 80);
    }

    @Test
    void gatewaysThatFailTogetherRetryAtDifferentTimes() {
        Set<Long> secondRetryMs = new TreeSet<>();
        for (int i = 0; i < GATEWAYS; i++) {
            Backoff backoff = new Backoff(80, 1500, new Random(i));
            secondRetryMs.add(backoff.nextDelayMs() + backoff.nextDelayMs());
        }
        assertTrue(secondRetryMs.size() > GATEWAYS / 2, secondRetryMs.toString());
    }
}
