package deckfall.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Accepts clients, reads their requests, and writes the one answer to each. */
final class ClientServer {
    static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    private static final int LEAST_READ = 256;
    private static final int FIRST_READ = 2048;
    private static final int MOST_READ = 16 * 1024; // many are under way at once
    private static final int BACKLOG = 512;
    private static final double FRESH_MS = 10; // in which a connection's first request may be on its way
    private static final long WATCH_MS = 100;

    private final Node node;
    private final RequestReader requests;
    private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
    private final LinkedHashSet<ClientConnection> idle = new LinkedHashSet<>(); // longest idle first
    private final AtomicInteger open = new AtomicInteger();
    private final ConnectionLimits limits;
    private AcceptRetry acceptRetry; // the present listener's
    private RetryingServerSocketChannel listener;
    private double lastActivityMs;
    private boolean sharesListener;
    private boolean watching;

    ClientServer(Node node) {
        this.node = node;
        requests = new RequestReader(node.config.settings());
        limits = new ConnectionLimits(node.config.sockets());
    }

    /** Buffers that grow with what comes, from little. */
    static RecvByteBufAllocator readBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(LEAST_READ, FIRST_READ, MOST_READ);
    }

    /** Clients are served once this has succeeded: at the inherited listener, else at the configured address. */
    ChannelFuture start(ServerSocketChannel inherited) {
        sharesListener = inherited != null;
        acceptRetry = new AcceptRetry(this::shedIfCrowded);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(node.group)
                .channelFactory(() ->
                        sharesListener ? new RetryingServerSocketChannel(inherited) : new RetryingServerSocketChannel())
                .handler(acceptRetry)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readBufferAllocator())
                .childHandler(new ChannelInitializer<RetryingSocketChannel>() {
                    @Override
                    protected void initChannel(RetryingSocketChannel ch) {
                        StrictRequestDecoder decoder = new StrictRequestDecoder();
                        ch.pipeline()
                                .addLast(
                                        decoder,
                                        new HttpResponseEncoder(),
                                        new ClientConnection(ClientServer.this, node, ch, decoder));
                    }
                });
        ChannelFuture opened = sharesListener
                ? bootstrap.register()
                : bootstrap
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(node.config.listen());
        if (opened.channel() instanceof RetryingServerSocketChannel channel) {
            listener = channel;
        }
        if (!watching) {
            watching = true;
            node.loop.scheduleAtFixedRate(this::watch, WATCH_MS, WATCH_MS, TimeUnit.MILLISECONDS);
        }
        return opened;
    }

    /** Whether another process may serve clients of the same listener. */
    boolean sharesListener() {
        return sharesListener;
    }

    /**
     * After this only connections that already came are served. A shared listener is left open, as its queue is
     * another process's too, and as closing an inherited channel takes the standard streams along.
     */
    void stopAccepting() {
        acceptRetry.stop(listener);
        if (!sharesListener) {
            listener.close();
        }
    }

    /**
     * Accepts all that wait: a listener that closes resets them, with what their clients have asked. False where the
     * system let none be accepted just now.
     */
    boolean acceptQueued() {
        return listener.acceptQueued();
    }

    /** Closes the connections on which nothing has been asked for so long. */
    void closeIdle(double minIdleMs) {
        double usedBeforeMs = node.clock.now() - minIdleMs;
        for (ClientConnection c : List.copyOf(idle)) {
            if (c.lastUsedMs() <= usedBeforeMs && c.safeToClose()) {
                lastActivityMs = node.clock.now();
                c.close(CloseReason.DRAINED);
            }
        }
    }

    /** Leaves open only what an answer is on its way on: whoever has sent a part of a request is told no. */
    void closeAll() {
        stopAccepting();
        List.copyOf(connections).forEach(ClientConnection::closeAtDrainEnd);
    }

    boolean idle() {
        return connections.isEmpty();
    }

    /** When a connection last came, or was closed while idle. */
    double lastActivityMs() {
        return lastActivityMs;
    }

    /** From any thread: about how many clients' connections are open. */
    int connections() {
        return open.get();
    }

    Channel listener() {
        return listener;
    }

    /** What all processes of this gateway hold of the descriptors that clients share. */
    int descriptorsHeld() {
        return node.heldByAll(connections.size(), SiblingWatch.Siblings::clients);
    }

    /** Whether clients hold more than their share: connections end with their next answer. */
    boolean aboveKeepAliveLimit() {
        return descriptorsHeld() > limits.maxKeepAlive();
    }

    private int mostHeld() {
        return limits.maxClients(node.hostsHeld());
    }

    /** What a client's message is read with. */
    RequestReader requests() {
        return requests;
    }

    void opened(ClientConnection c) {
        connections.add(c);
        open.set(connections.size());
        idle.add(c);
        lastActivityMs = node.clock.now();
    }

    void ended(ClientConnection c) {
        idle.remove(c);
        connections.remove(c);
        open.set(connections.size());
    }

    /** Whether nothing is asked on it, so that it may be closed. */
    void idle(ClientConnection c, boolean is) {
        if (is) {
            idle.add(c);
        } else {
            idle.remove(c);
        }
    }

    /** Makes room for a new connection; false where no descriptor is left for it. */
    boolean admits(ClientConnection newcomer) {
        if (aboveKeepAliveLimit()) {
            shed(newcomer, Math.max(1, descriptorsHeld() - mostHeld()));
        }
        return descriptorsHeld() <= mostHeld();
    }

    private void shedIfCrowded() {
        if (aboveKeepAliveLimit()) {
            shed(null, 1);
        }
    }

    /** Closes up to so many idle connections, the longest idle first; not the one that has just come. */
    private void shed(ClientConnection newcomer, int most) {
        int closed = 0;
        for (ClientConnection c : List.copyOf(idle)) {
            if (closed >= most) {
                return;
            }
            boolean fresh = !c.hasSentRequest() && node.clock.now() - c.lastUsedMs() < FRESH_MS;
            if (c != newcomer && (!fresh || descriptorsHeld() > mostHeld()) && c.safeToClose()) {
                c.close(CloseReason.SHED);
                closed++;
            }
        }
    }

    /** Looks after peers that are too slow, whatever they do: one beat for all connections. */
    private void watch() {
        double now = node.clock.now();
        for (ClientConnection c : List.copyOf(connections)) {
            c.closeIfTooSlow(now);
        }
        if (aboveKeepAliveLimit()) {
            shed(null, descriptorsHeld() - limits.maxKeepAlive());
        }
    }
}
