package deckfall.scale;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Lets the one clock follow the real one, on the thread of the sockets, so that stand-ins serve both alike. */
final class Pace {
    private static final long BEAT_MS = 1;

    private final EventLoop loop;
    private final EventQueue queue;
    private boolean running;
    private long fromNanos;
    private double fromMs;
    private double worstLateMs;
    private volatile double nowMs;

    Pace(EventLoop loop, EventQueue queue) {
        this.loop = loop;
        this.queue = queue;
    }

    /** From here on; called on the thread of the sockets, as all but {@link #now()}. */
    void start() {
        running = true;
        fromMs = queue.now();
        fromNanos = System.nanoTime();
        loop.scheduleAtFixedRate(this::catchUp, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** Runs what is due, before anything that came over a socket is taken up. */
    void catchUp() {
        if (!running) {
            return;
        }
        double due = fromMs + (System.nanoTime() - fromNanos) / 1e6;
        worstLateMs = Math.max(worstLateMs, due - queue.now());
        queue.runUntil(due);
        nowMs = due;
    }

    double now() {
        return nowMs;
    }

    /** How late the clock was at worst since this was last asked. */
    double takeWorstLateMs() {
        double worst = worstLateMs;
        worstLateMs = 0;
        return worst;
    }
}
