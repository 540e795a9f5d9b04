package deckfall.scale;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Lets the one clock follow the real one, on the thread of the sockets, so that stand-ins serve both alike. */
final class RealTimePacer {
    private static final long TICK_MS = 1;

    private final EventLoop loop;
    private final EventQueue queue;
    private boolean running;
    private long startNanos;
    private double startMs;
    private double maxLagMs;
    private volatile double nowMs;

    RealTimePacer(EventLoop loop, EventQueue queue) {
        this.loop = loop;
        this.queue = queue;
    }

    /** From here on; called on the thread of the sockets, as all but {@link #now()}. */
    void start() {
        running = true;
        startMs = queue.now();
        startNanos = System.nanoTime();
        loop.scheduleAtFixedRate(this::catchUp, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Runs what is due, before anything that came over a socket is taken up. */
    void catchUp() {
        if (!running) {
            return;
        }
        double dueMs = startMs + (System.nanoTime() - startNanos) / 1e6;
        maxLagMs = Math.max(maxLagMs, dueMs - queue.now());
        queue.runUntil(dueMs);
        nowMs = dueMs;
    }

    double now() {
        return nowMs;
    }

    /** How late the clock was at worst since this was last asked. */
    double takeMaxLagMs() {
        double takenMaxLagMs = maxLagMs;
        maxLagMs = 0;
        return takenMaxLagMs;
    }
}
