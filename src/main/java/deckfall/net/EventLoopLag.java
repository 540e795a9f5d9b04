package deckfall.net;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * How long bytes that the event loop hands on now may have waited for it, at most. What a turn of the loop finds has come
 * since the turn before looked, unless the loop slept in between; where that turn took long, its client's time went on.
 */
final class EventLoopLag implements SelectStrategy {
    private static final double NANOS_PER_MS = 1e6;
    private static final long MIN_BLOCKED_NANOS = TimeUnit.MILLISECONDS.toNanos(1); // until the first I/O of a turn

    private final LongSupplier clockNanos;
    private boolean mayBlock; // this turn may sleep until there is I/O
    private long iterationStartNanos; // when this turn began
    private boolean ioHandled; // this turn has handled I/O or a timer
    private long firstIoNanos; // since then
    private boolean previousPollKnown;
    private long previousPollNanos; // by when the turn before had looked for I/O

    EventLoopLag() {
        this(System::nanoTime);
    }

    EventLoopLag(LongSupplier clockNanos) {
        this.clockNanos = clockNanos;
    }

    /** A turn begins. */
    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        previousPollKnown = !mayBlock || ioHandled;
        previousPollNanos = ioHandled && blocked() ? firstIoNanos : iterationStartNanos;
        iterationStartNanos = clockNanos.getAsLong();
        ioHandled = false;
        mayBlock = !hasTasks;
        return mayBlock ? SelectStrategy.SELECT : selectNow.get();
    }

    private boolean blocked() {
        return mayBlock && firstIoNanos - iterationStartNanos > MIN_BLOCKED_NANOS;
    }

    /** I/O, or a timer, is being handled; how long bytes that are read now may have waited. */
    double observeDelayMs() {
        long now = clockNanos.getAsLong();
        if (!ioHandled) {
            ioHandled = true;
            firstIoNanos = now;
        }
        long since = blocked() ? firstIoNanos : previousPollKnown ? previousPollNanos : iterationStartNanos;
        return (now - since) / NANOS_PER_MS;
    }
}
