package deckfall.net;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Bounds the time for which bytes that the event loop delivers now may have waited for it. What an iteration of the
 * loop finds has arrived since the previous iteration polled, unless the loop blocked in between. If the previous
 * iteration took long, its time counts against the deadlines of the requests that arrived meanwhile.
 */
final class EventLoopLag implements SelectStrategy {
    private static final double NANOS_PER_MS = 1e6;
    // From the start of an iteration to its first I/O
    private static final long MIN_BLOCKED_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final LongSupplier clockNanos;
    private boolean mayBlock; // this iteration may block until there is I/O
    private long iterationStartNanos;
    private boolean ioHandled; // this iteration has handled I/O or a timer
    private long firstIoNanos; // when this iteration first did
    private boolean previousPollKnown;
    private long previousPollNanos; // by when the previous iteration had polled for I/O

    EventLoopLag() {
        this(System::nanoTime);
    }

    EventLoopLag(LongSupplier clockNanos) {
        this.clockNanos = clockNanos;
    }

    /** Starts an iteration. */
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

    /** Records that I/O or a timer is being handled. Returns how long bytes that are read now may have waited. */
    double observeDelayMs() {
        long now = clockNanos.getAsLong();
        if (!ioHandled) {
            ioHandled = true;
            firstIoNanos = now;
        }
        long earliestArrivalNanos =
                blocked() ? firstIoNanos : previousPollKnown ? previousPollNanos : iterationStartNanos;
        return (now - earliestArrivalNanos) / NANOS_PER_MS;
    }
}
