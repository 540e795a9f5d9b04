package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** What waits in a listener's queue while accepting fails. */
class AcceptRetryTest {
    private final AtomicInteger roomMade = new AtomicInteger();
    private final AcceptRetry retry = new AcceptRetry(roomMade::incrementAndGet);

    private EmbeddedChannel failed() {
        EmbeddedChannel listener = new EmbeddedChannel(retry);
        listener.freezeTime();
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files in system"));
        return listener;
    }

    /** After one failed accept nothing was accepted for a second, and waiting requests ran out of their time. */
    @Test
    void acceptingGoesOnMillisecondsAfterAFailure() {
        EmbeddedChannel listener = failed();
        assertEquals(1, roomMade.get());
        assertFalse(listener.config().isAutoRead());
        listener.advanceTimeBy(AcceptRetry.RETRY_MS, TimeUnit.MILLISECONDS);
        listener.runScheduledPendingTasks();
        assertTrue(listener.config().isAutoRead());
    }

    @Test
    void aListenerThatWasStoppedStaysSo() {
        EmbeddedChannel listener = failed();
        retry.stop(listener);
        listener.advanceTimeBy(AcceptRetry.RETRY_MS, TimeUnit.MILLISECONDS);
        listener.runScheduledPendingTasks();
        assertFalse(listener.config().isAutoRead());
    }
}
