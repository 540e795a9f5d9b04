package deckfall.net;

import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Settings;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Drains the clients of a gateway, on an operator's command or at the end of the process. Health checks fail, new
 * connections are still served until the load balancer in front has noticed, open connections are closed with their
 * next response, and idle ones are closed without one. {@link #resume} reverts a drain in progress.
 */
final class Drain {
    static final long MIN_ACCEPT_MS = 500; // new connections still arrive, and a close must not cross their requests
    // A connection used more recently is closed with its next response, if there is one
    static final double MIN_IDLE_MS = 300;
    private static final double KILL_DELAY_MS = 700; // SIGKILL follows SIGTERM by this and the longest deadline
    // Longer deadlines count as this in the time until SIGKILL
    private static final double MAX_COUNTED_DEADLINE_MS = 3000;
    private static final double RESPONSE_MARGIN_MS = 300; // before SIGKILL, for responses to reach their clients
    // Before the last responses, so that the client accepted last can still send a request
    private static final double LAST_REQUEST_MARGIN_MS = 200;
    static final double RECONNECT_MS = 100; // a client whose idle connection was closed reconnects within this time
    private static final long SWEEP_INTERVAL_MS = 50;

    private final EventLoop loop;
    private final Clock clock;
    private final ClientServer clients;
    private volatile boolean active;
    private boolean sweeping; // used on the event loop only

    Drain(EventLoop loop, Clock clock, ClientServer clients) {
        this.loop = loop;
        this.clock = clock;
        this.clients = clients;
    }

    /** Starts the drain; the gateway is no longer ready for clients. May be called from any thread. */
    void begin() {
        active = true;
        if (loop.inEventLoop()) {
            // Now, as timers that the caller starts on the loop from here on must fire after the first sweep
            startSweeping();
        } else {
            loop.execute(this::startSweeping);
        }
    }

    private void startSweeping() {
        if (active && !sweeping) {
            sweeping = true;
            loop.schedule(this::sweep, MIN_ACCEPT_MS, TimeUnit.MILLISECONDS);
        }
    }

    boolean sweeping() {
        return sweeping;
    }

    /**
     * The time from SIGTERM until all requests must be answered. SIGKILL follows SIGTERM by the longest deadline and a
     * fixed delay, and requests that are still open then are lost.
     */
    static long answerDeadlineMs(Settings settings) {
        double longest = settings.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(MAX_COUNTED_DEADLINE_MS);
        return (long) Math.max(0, Math.min(MAX_COUNTED_DEADLINE_MS, longest) + KILL_DELAY_MS - RESPONSE_MARGIN_MS);
    }

    /** The time from SIGTERM until no connection may be accepted any more, however many still arrive. */
    static long acceptDeadlineMs(Settings settings) {
        return (long) Math.max(MIN_ACCEPT_MS, answerDeadlineMs(settings) - LAST_REQUEST_MARGIN_MS);
    }

    /** Ends the drain; clients are served again at once. May be called from any thread. */
    void resume() {
        active = false;
    }

    boolean active() {
        return active;
    }

    private void sweep() {
        sweeping = active;
        if (active) {
            clients.closeIdle(MIN_IDLE_MS);
            loop.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
