package deckfall.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/** The connections to one host at one address. A host that has restarted gets a new pool. */
final class HostPool {
    // of the time after which a host may close an idle connection
    static final double IDLE_LIMIT_FRACTION = 0.6;
    // a close after a shorter idle time says nothing about the host's idle timeout
    static final double MIN_IDLE_LIMIT_MS = 50;
    // of the idle time at which a host closed a connection
    private static final double IDLE_LIMIT_DECREASE_FACTOR = 0.8;
    private static final double IDLE_LIMIT_GROWTH_FACTOR = 1.02; // per sweep, to recover from a period of early closes

    final InetSocketAddress address;
    final double startedMs;
    final ArrayDeque<HostConnection> idle = new ArrayDeque<>(); // in order of last use, the most recent at the end
    final Set<HostConnection> connecting = new LinkedHashSet<>(); // each with the exchange that waits for it
    private final double maxIdleLimitMs;
    double idleLimitMs; // a connection that was idle for longer is not reused
    boolean closed;

    HostPool(InetSocketAddress address, double startedMs, double maxIdleLimitMs) {
        this.address = address;
        this.startedMs = startedMs;
        this.maxIdleLimitMs = maxIdleLimitMs;
        this.idleLimitMs = maxIdleLimitMs;
    }

    /**
     * Lowers the idle limit after a host closed a connection that was idle for {@code idleMs}: the settings only
     * give the latest time at which a host closes an idle connection, and this host closed it earlier.
     */
    void lowerIdleLimit(double idleMs) {
        if (idleMs > MIN_IDLE_LIMIT_MS) {
            idleLimitMs = Math.max(MIN_IDLE_LIMIT_MS, Math.min(idleLimitMs, idleMs * IDLE_LIMIT_DECREASE_FACTOR));
        }
    }

    /** Adds the exchanges that wait for a connection of this pool. */
    void addWaiting(List<Exchange> waiting) {
        connecting.stream().map(c -> c.exchange).filter(Objects::nonNull).forEach(waiting::add);
    }

    /** Raises the idle limit by one step, up to the limit from the settings. */
    void raiseIdleLimit() {
        idleLimitMs = Math.min(maxIdleLimitMs, idleLimitMs * IDLE_LIMIT_GROWTH_FACTOR);
    }
}
