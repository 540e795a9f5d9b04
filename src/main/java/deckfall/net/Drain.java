package deckfall.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Empties a gateway of its clients, for an operator and at its end alike: the front is told no, new connections are
 * served while it learns of that, open ones are told to close with their next answer, and idle ones are closed.
 * While it goes on, {@link #resume} takes it back.
 */
final class Drain {
    static final long ACCEPT_ON_MS = 500; // new connections still come, and their requests are not to cross a close
    static final double QUIET_MS = 300; // a connection in use is closed with an answer instead, if one comes
    static final long ALL_IDLE_MS = 2500; // from here on an idle connection is closed however lately it was used
    static final double CROSSING_MS = 100; // a client that finds its connection closed comes on a new one at once
    private static final long SWEEP_MS = 50;

    private final EventLoop loop;
    private final Clock clock;
    private final ClientServer clients;
    private volatile boolean on;
    private boolean sweeping; // on the event loop, as all below
    private double since;

    Drain(EventLoop loop, Clock clock, ClientServer clients) {
        this.loop = loop;
        this.clock = clock;
        this.clients = clients;
    }

    /** From any thread: from here on the gateway is no place for clients. */
    void begin() {
        on = true;
        loop.execute(() -> {
            if (on && !sweeping) {
                sweeping = true;
                since = clock.now();
                loop.schedule(this::sweep, ACCEPT_ON_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** From any thread: clients are taken again at once. */
    void resume() {
        on = false;
    }

    boolean on() {
        return on;
    }

    private void sweep() {
        sweeping = on;
        if (on) {
            clients.closeIdle(clock.now() - since < ALL_IDLE_MS ? QUIET_MS : 0);
            loop.schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
    }
}
