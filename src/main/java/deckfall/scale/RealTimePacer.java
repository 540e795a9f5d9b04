package deckfall.scale;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Makes the virtual clock follow the real time on the event loop of the sockets, so that the simulated services serve
 * simulated and real gateways alike.
 */
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

    /** Starts to follow the real time. Must be called on the event loop, like all methods except {@link #now()}. */
    void start() {
        running = true;
        startMs = queue.now();
        startNanos = System.nanoTime();
        loop.scheduleAtFixedRate(this::catchUp, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Runs the events that are due. Must be called before a message from a socket is handled. */
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

    /** Returns and resets the largest lag of the clock since the last call, in milliseconds. */
    double takeMaxLagMs() {
        double takenMaxLagMs = maxLagMs;
        maxLagMs = 0;
        return takenMaxLagMs;
    }
}
