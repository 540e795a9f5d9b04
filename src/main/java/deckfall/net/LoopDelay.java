package deckfall.net;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * How long bytes that the event loop hands on now may have waited for it, at most. What a turn of the loop finds has come
 * since the turn before looked, unless the loop slept in between; where that turn took long, its client's time went on.
 */
final class LoopDelay implements SelectStrategy {
    private static final double NANOS_PER_MS = 1e6;
    private static final long SLEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(1); // until the first I/O of a turn

    private final LongSupplier clockNanos;
    private boolean sleeps; // this turn may sleep until there is I/O
    private long turnNanos; // when this turn began
    private boolean handled; // this turn has handled I/O or a timer
    private long handledNanos; // since then
    private boolean formerKnown;
    private long formerNanos; // by when the turn before had looked for I/O

    LoopDelay() {
        this(System::nanoTime);
    }

    LoopDelay(LongSupplier clockNanos) {
        this.clockNanos = clockNanos;
    }

    /** A turn begins. */
    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        formerKnown = !sleeps || handled;
        formerNanos = handled && slept() ? handledNanos : turnNanos;
        turnNanos = clockNanos.getAsLong();
        handled = false;
        sleeps = !hasTasks;
        return sleeps ? SelectStrategy.SELECT : selectNow.get();
    }

    private boolean slept() {
        return sleeps && handledNanos - turnNanos > SLEPT_NANOS;
    }

    /** I/O, or a timer, is being handled; how long bytes that are read now may have waited. */
    double handledMs() {
        long now = clockNanos.getAsLong();
        if (!handled) {
            handled = true;
            handledNanos = now;
        }
        long since = slept() ? handledNanos : formerKnown ? formerNanos : turnNanos;
        return (now - since) / NANOS_PER_MS;
    }
}
