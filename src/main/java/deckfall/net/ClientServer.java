package deckfall.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Accepts clients, reads their requests and writes one response to each. Closes connections that are too slow, and idle
 * ones when clients hold more than their share of descriptors.
 */
final class ClientServer {
    static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    private static final int MIN_READ_BUFFER_BYTES = 256;
    private static final int INITIAL_READ_BUFFER_BYTES = 2048;
    private static final int MAX_READ_BUFFER_BYTES = 16 * 1024; // small, as many connections are read at once
    private static final int MAX_READS_PER_ITERATION = 4; // of a connection, for others to be read as well
    private static final int ACCEPT_BACKLOG = 512;
    private static final double FIRST_REQUEST_GRACE_MS = 10; // a new connection's first request may be on its way
    private static final long CHECK_INTERVAL_MS = 100;
    private static final double MAX_TURNS_MS = 5; // in an iteration of the event loop

    private final Node node;
    private final RequestReader requestReader;
    private final LinkedHashSet<ClientConnection> connections = new LinkedHashSet<>();
    private final LinkedHashSet<ClientConnection> idleConnections = new LinkedHashSet<>(); // longest idle first
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final ConnectionLimits limits;
    private final ArrayDeque<ClientConnection> waitingForTurn = new ArrayDeque<>(); // in the order of their turns
    private AcceptRetry acceptRetry; // of the current listener
    private RetryingServerSocketChannel listener;
    private double lastActivityMs;
    private boolean sharesListener;
    private boolean checksScheduled;

    ClientServer(Node node) {
        this.node = node;
        requestReader = new RequestReader(node.config.settings());
        limits = new ConnectionLimits(node.config.sockets());
    }

    /** An allocator of read buffers that start small and grow, and that bounds the reads in an event loop iteration. */
    static RecvByteBufAllocator readBufferAllocator(int readsPerIteration) {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BUFFER_BYTES, INITIAL_READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES)
                .maxMessagesPerRead(readsPerIteration);
    }

    /**
     * Starts to serve clients, on the inherited listener if there is one, otherwise on the configured address. Clients
     * are served once the returned future has succeeded.
     */
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
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readBufferAllocator(MAX_READS_PER_ITERATION))
                .childHandler(new ChannelInitializer<RetryingSocketChannel>() {
                    @Override
                    protected void initChannel(RetryingSocketChannel ch) {
                        boundReceiveBuffer(ch);
                        ClientConnection connection = new ClientConnection(ClientServer.this, node, ch);
                        ch.pipeline().addLast(connection.decoder(), new HttpResponseEncoder(), connection);
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
            node.repeat(CHECK_INTERVAL_MS, "check of connections", this::checkConnections);
        }
        return bindFuture;
    }

    private static void boundReceiveBuffer(RetryingSocketChannel channel) {
        try {
            channel.config().setReceiveBufferSize(UnreadBytes.RECEIVE_BUFFER_BYTES);
        } catch (ChannelException e) {
            // the connection works with the system's size as well
        }
    }

    /** Whether other processes may serve clients of the same listener. */
    boolean sharesListener() {
        return sharesListener;
    }

    /**
     * Stops accepting; only connections that were accepted before are served. A shared listener is left open, as its
     * queue belongs to other processes too, and as closing an inherited channel also closes the standard streams.
     */
    void stopAccepting() {
        acceptRetry.stop(listener);
        if (!sharesListener) {
            listener.close();
        }
    }

    /**
     * Accepts all queued connections, since closing the listener resets them and loses their clients' requests. Returns
     * false if the system failed to accept just now.
     */
    boolean acceptQueued() {
        return listener.acceptQueued();
    }

    /** Closes the connections that have been idle for {@code minIdleMs}. */
    void closeIdle(double minIdleMs) {
        double usedBeforeMs = node.clock.now() - minIdleMs;
        for (ClientConnection c : List.copyOf(idleConnections)) {
            if (c.lastUsedMs() <= usedBeforeMs && c.safeToClose()) {
                lastActivityMs = node.clock.now();
                c.close(CloseReason.DRAINED);
            }
        }
    }

    /**
     * Closes all connections except those whose response is outstanding. A client that has sent a part of a request is
     * refused.
     */
    void closeAll() {
        stopAccepting();
        List.copyOf(connections).forEach(c -> c.contain(c::closeAtDrainEnd));
    }

    boolean hasNoConnections() {
        return connections.isEmpty();
    }

    /** When a connection was last accepted, or closed while idle. */
    double lastActivityMs() {
        return lastActivityMs;
    }

    /** The approximate number of open client connections. May be called from any thread. */
    int connectionCount() {
        return connectionCount.get();
    }

    Channel listener() {
        return listener;
    }

    /** The number of descriptors that client connections of all processes of this gateway hold. */
    int descriptorsHeld() {
        return node.totalAcrossProcesses(connections.size(), SiblingWatch.SiblingCounts::clientConnections);
    }

    /**
     * Whether clients hold more than their share of descriptors, so that connections are closed with their next
     * response.
     */
    boolean aboveKeepAliveLimit() {
        return descriptorsHeld() > limits.maxKeepAlive();
    }

    private int maxClientDescriptors() {
        return limits.maxClients(node.totalHostConnections());
    }

    /** The reader of client requests. */
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

    /**
     * Gives a connection that has much to process a turn, in one of the next iterations of the event loop. Between them
     * the loop serves all other connections.
     */
    void scheduleTurn(ClientConnection c) {
        waitingForTurn.addLast(c);
        if (waitingForTurn.size() == 1) {
            scheduleTurns();
        }
    }

    private void scheduleTurns() {
        // A task would run in this iteration, if it is added by a task
        ((SingleThreadEventLoop) node.loop).executeAfterEventLoopIteration(() -> node.loop.execute(this::runTurns));
    }

    private void runTurns() {
        double endMs = node.clock.now() + MAX_TURNS_MS;
        for (int left = waitingForTurn.size(); left > 0 && node.clock.now() < endMs; left--) {
            ClientConnection next = waitingForTurn.getFirst();
            next.contain(next::processRead); // which may schedule its next turn, at the end
            waitingForTurn.removeFirst();
        }
        if (!waitingForTurn.isEmpty()) {
            scheduleTurns();
        }
    }

    /** Sets whether the connection is idle, so that it may be closed. */
    void setIdle(ClientConnection c, boolean isIdle) {
        if (isIdle) {
            idleConnections.add(c);
        } else {
            idleConnections.remove(c);
        }
    }

    /** Closes idle connections to make room for a new one. Returns false if no descriptor is left for it. */
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

    /** Closes up to {@code maxClosed} idle connections, the longest idle first, but never {@code newConnection}. */
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

    /**
     * Closes connections whose clients are too slow, and sheds idle ones above the keep-alive limit. One timer serves
     * all connections.
     */
    private void checkConnections() {
        double now = node.clock.now();
        for (ClientConnection c : List.copyOf(connections)) {
            c.contain(() -> c.closeIfTooSlow(now));
        }
        if (aboveKeepAliveLimit()) {
            shed(null, descriptorsHeld() - limits.maxKeepAlive());
        }
    }
}
