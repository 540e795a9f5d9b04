package deckfall.net;

import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Settings;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Empties a gateway of its clients, for an operator and at its end alike: the front is told no, new connections are
 * served while it learns of that, open ones are told to close with their next answer, and quiet ones are closed.
 * While it goes on, {@link #resume} takes it back.
 */
final class Drain {
    static final long MIN_ACCEPT_MS = 500; // new connections still come, and their requests are not to cross a close
    static final double MIN_IDLE_MS = 300; // a connection in use is closed with an answer instead, if one comes
    private static final double KILL_DELAY_MS = 700; // after SIGTERM, and after the longest deadline
    private static final double MAX_COUNTED_DEADLINE_MS = 3000; // that a deadline counts for there
    private static final double RESPONSE_MARGIN_MS = 300; // before that, for the answers to reach their clients
    private static final double LAST_REQUEST_MARGIN_MS =
            200; // before that, so that who was accepted last can still ask
    static final double RECONNECT_MS = 100; // a client that finds its connection closed comes on a new one at once
    private static final long SWEEP_INTERVAL_MS = 50;

    private final EventLoop loop;
    private final Clock clock;
    private final ClientServer clients;
    private volatile boolean active;
    private boolean sweeping; // on the event loop, as all below

    Drain(EventLoop loop, Clock clock, ClientServer clients) {
        this.loop = loop;
        this.clock = clock;
        this.clients = clients;
    }

    /** From any thread: from here on the gateway is no place for clients. */
    void begin() {
        active = true;
        if (loop.inEventLoop()) {
            startSweeping(); // at once: what the loop's caller times from now on is to come after the first sweep
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
     * From SIGTERM until all must be answered: SIGKILL comes the longest deadline later and somewhat more, and what
     * it finds open is lost.
     */
    static long answerDeadlineMs(Settings settings) {
        double longest = settings.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(MAX_COUNTED_DEADLINE_MS);
        return (long) Math.max(0, Math.min(MAX_COUNTED_DEADLINE_MS, longest) + KILL_DELAY_MS - RESPONSE_MARGIN_MS);
    }

    /** From SIGTERM until nobody new may be let in, however many still come. */
    static long acceptDeadlineMs(Settings settings) {
        return (long) Math.max(MIN_ACCEPT_MS, answerDeadlineMs(settings) - LAST_REQUEST_MARGIN_MS);
    }

    /** From any thread: clients are taken again at once. */
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
