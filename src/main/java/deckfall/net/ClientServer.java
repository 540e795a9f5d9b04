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
    private static final int MIN_READ_BUFFER_BYTES = 256;
    private static final int INITIAL_READ_BUFFER_BYTES = 2048;
    private static final int MAX_READ_BUFFER_BYTES = 16 * 1024; // many are under way at once
    private static final int ACCEPT_BACKLOG = 512;
    private static final double FIRST_REQUEST_GRACE_MS = 10; // in which a connection's first request may be on its way
    private static final long CHECK_INTERVAL_MS = 100;

    private final Node node;
    private final RequestReader requestReader;
    private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
    private final LinkedHashSet<ClientConnection> idleConnections = new LinkedHashSet<>(); // longest idle first
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final ConnectionLimits limits;
    private AcceptRetry acceptRetry; // the present listener's
    private RetryingServerSocketChannel listener;
    private double lastActivityMs;
    private boolean sharesListener;
    private boolean checksScheduled;

    ClientServer(Node node) {
        this.node = node;
        requestReader = new RequestReader(node.config.settings());
        limits = new ConnectionLimits(node.config.sockets());
    }

    /** Buffers that grow with what comes, from little. */
    static RecvByteBufAllocator readBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(
                MIN_READ_BUFFER_BYTES, INITIAL_READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES);
    }

    /** Clients are served once this has succeeded: at the inherited listener, else at the configured address. */
    ChannelFuture start(ServerSocketChannel inherited) {
        sharesListener = inherited != null;
        acceptRetry = new AcceptRetry(this::shedIfAboveKeepAliveLimit);
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
        ChannelFuture bindFuture = sharesListener
                ? bootstrap.register()
                : bootstrap
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(node.config.listen());
        if (bindFuture.channel() instanceof RetryingServerSocketChannel channel) {
            listener = channel;
        }
        if (!checksScheduled) {
            checksScheduled = true;
            node.loop.scheduleAtFixedRate(
                    this::checkConnections, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        return bindFuture;
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
        for (ClientConnection c : List.copyOf(idleConnections)) {
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

    boolean hasNoConnections() {
        return connections.isEmpty();
    }

    /** When a connection last came, or was closed while idle. */
    double lastActivityMs() {
        return lastActivityMs;
    }

    /** From any thread: about how many clients' connections are open. */
    int connectionCount() {
        return connectionCount.get();
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

    private int maxClientDescriptors() {
        return limits.maxClients(node.hostsHeld());
    }

    /** What a client's message is read with. */
    RequestReader requestReader() {
        return requestReader;
    }

    void connectionOpened(ClientConnection c) {
        connections.add(c);
        connectionCount.set(connections.size());
        idleConnections.add(c);
        lastActivityMs = node.clock.now();
    }

    void connectionClosed(ClientConnection c) {
        idleConnections.remove(c);
        connections.remove(c);
        connectionCount.set(connections.size());
    }

    /** Whether nothing is asked on it, so that it may be closed. */
    void setIdle(ClientConnection c, boolean isIdle) {
        if (isIdle) {
            idleConnections.add(c);
        } else {
            idleConnections.remove(c);
        }
    }

    /** Makes room for a new connection; false where no descriptor is left for it. */
    boolean makeRoomFor(ClientConnection newConnection) {
        if (aboveKeepAliveLimit()) {
            shed(newConnection, Math.max(1, descriptorsHeld() - maxClientDescriptors()));
        }
        return descriptorsHeld() <= maxClientDescriptors();
    }

    private void shedIfAboveKeepAliveLimit() {
        if (aboveKeepAliveLimit()) {
            shed(null, 1);
        }
    }

    /** Closes up to so many idle connections, the longest idle first; not the one that has just come. */
    private void shed(ClientConnection newConnection, int maxClosed) {
        int closed = 0;
        for (ClientConnection c : List.copyOf(idleConnections)) {
            if (closed >= maxClosed) {
                return;
            }
            boolean mayAwaitFirstRequest =
                    !c.hasSentRequest() && node.clock.now() - c.lastUsedMs() < FIRST_REQUEST_GRACE_MS;
            if (c != newConnection
                    && (!mayAwaitFirstRequest || descriptorsHeld() > maxClientDescriptors())
                    && c.safeToClose()) {
                c.close(CloseReason.SHED);
                closed++;
            }
        }
    }

    /** Looks after peers that are too slow, whatever they do: one beat for all connections. */
    private void checkConnections() {
        double now = node.clock.now();
        for (ClientConnection c : List.copyOf(connections)) {
            c.closeIfTooSlow(now);
        }
        if (aboveKeepAliveLimit()) {
            shed(null, descriptorsHeld() - limits.maxKeepAlive());
        }
    }
}
