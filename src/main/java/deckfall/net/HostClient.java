package deckfall.net;

import deckfall.Gateway.HostListKind;
import deckfall.Gateway.HostState;
import deckfall.Gateway.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Pooled HTTP/1.1 connections to hosts, with one request at a time on each, and the outcome of what was sent. */
final class HostClient {
    private static final String HOST_HEADER_VALUE = "backend.local";
    // a duplicate of a response may arrive some milliseconds after it
    private static final double REUSE_DELAY_MS = 30;
    private static final long IDLE_SWEEP_INTERVAL_MS = 500;
    private static final int MAX_READS_PER_ITERATION = 16; // of a connection
    private static final double MAX_DESCRIPTOR_FRACTION = 0.45; // of all descriptors
    /**
     * Descriptors for all other uses: 22 of a process that has just started, discovery and the counter, 16 connections
     * at the operator's address, files that are reloaded, and descriptors that are closed only in the next iteration of
     * the event loop, of which an iteration that accepts connections leaves up to 16.
     */
    static final int RESERVED_DESCRIPTORS = 64;

    private static final int RESERVED_DIVISOR = 4; // if descriptors are few, at most 1/4 of them is reserved
    private static final double PROBE_TIMEOUT_MS = 250;

    private final Node node;
    private final Map<String, HostPool> pools = new LinkedHashMap<>();
    private final Bootstrap bootstrap;
    private final int maxConnections;
    private final ConnectionLimits connectionLimits;
    private final ResponseReader responseReader;
    private volatile int connections; // written on the event loop only

    HostClient(Node node) {
        this.node = node;
        this.maxConnections = connectionLimit(node.config.sockets());
        this.connectionLimits = new ConnectionLimits(node.config.sockets());
        this.responseReader = new ResponseReader(node.config.settings().loadMetricNames());
        this.bootstrap = new Bootstrap()
                .group(node.loop)
                .channelFactory(RetryingSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ClientServer.WRITE_BUFFER_WATER_MARK)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ClientServer.readBufferAllocator(MAX_READS_PER_ITERATION))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, node.config.connectTimeoutMs()));
        node.loop.schedule(this::closeIdle, IDLE_SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * The maximum number of connections to hosts with {@code sockets} descriptors, while clients hold their full share.
     */
    static int connectionLimit(int sockets) {
        int left = sockets - ConnectionLimits.maxKeepAlive(sockets) - reservedDescriptors(sockets);
        return (int) Math.min(sockets * MAX_DESCRIPTOR_FRACTION, left);
    }

    /** The number of descriptors reserved for uses other than clients and hosts. */
    static int reservedDescriptors(int sockets) {
        return Math.min(RESERVED_DESCRIPTORS, sockets / RESERVED_DIVISOR);
    }

    // ---- the host list

    /**
     * Applies a list of hosts. Exchanges that still wait for a connection to a host that drains, was removed or has
     * restarted would be sent once that connection comes up. The returned action ends them; the caller runs it after
     * the decision module has received the list.
     */
    Runnable updateHosts(HostListKind kind, List<Discovery.Entry> entries) {
        List<Exchange> waiting = new ArrayList<>();
        Set<String> listedIds = new HashSet<>();
        for (Discovery.Entry entry : entries) {
            String id = entry.host().id();
            listedIds.add(id);
            HostPool oldPool = pools.get(id);
            boolean sameProcess = oldPool != null
                    && oldPool.address.equals(entry.address())
                    && oldPool.startedMs == entry.host().startedMs();
            if (entry.host().state() == HostState.GONE) {
                pools.remove(id);
                closePool(oldPool, waiting);
            } else if (!sameProcess) {
                pools.put(
                        id,
                        new HostPool(
                                entry.address(),
                                entry.host().startedMs(),
                                node.config.connectionIdleMs() * HostPool.IDLE_LIMIT_FRACTION));
                closePool(oldPool, waiting);
            } else if (entry.host().state() == HostState.DRAINING) {
                oldPool.addWaiting(waiting);
            }
        }
        if (kind != HostListKind.CHANGES) {
            pools.entrySet().removeIf(p -> {
                boolean absent = !listedIds.contains(p.getKey());
                if (absent) {
                    closePool(p.getValue(), waiting);
                }
                return absent;
            });
        }
        return () -> waiting.forEach(Exchange::rejectIfWaiting);
    }

    /** The number of connections to hosts that are open or being opened. Thread-safe. */
    int connections() {
        return connections;
    }

    /** The number of connections to hosts of all processes of this gateway together. */
    int totalConnections() {
        return node.totalAcrossProcesses(connections, SiblingWatch.SiblingCounts::hostConnections);
    }

    /** The number of hosts in the list. */
    int hostCount() {
        return pools.size();
    }

    private void closePool(HostPool pool, List<Exchange> waiting) {
        if (pool != null) {
            pool.addWaiting(waiting);
            pool.closed = true;
            List<HostConnection> ended = List.copyOf(pool.idle);
            pool.idle.clear();
            ended.forEach(c -> c.channel.close());
        }
    }

    private void closeIdle() {
        node.loop.schedule(this::closeIdle, IDLE_SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        for (HostPool pool : pools.values()) {
            pool.raiseIdleLimit();
            double oldestUsableMs = node.clock.now() - pool.idleLimitMs;
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().idleSinceMs < oldestUsableMs) {
                pool.idle.pollFirst().channel.close();
            }
        }
    }

    /** Whether one more connection may be opened; closes an idle connection of any pool if the limit is reached. */
    private boolean makeRoom() {
        int limit = Math.min(maxConnections, connectionLimits.maxHosts(node.totalClientConnections()));
        if (totalConnections() < limit) {
            return true;
        }
        for (HostPool pool : pools.values()) {
            HostConnection connection = pool.idle.pollFirst();
            if (connection != null) {
                connection.channel.close();
                return true;
            }
        }
        return false;
    }

    /** The reader of hosts' responses. */
    ResponseReader responseReader() {
        return responseReader;
    }

    // ---- requests

    /** Sends an attempt to its host. Its end is reported by {@link Exchange#onEnd}. */
    void send(Attempt attempt) {
        start(attempt.host, attempt, () -> requestFor(attempt));
    }

    /** The complete message if its body has been received and is short, else only its head. */
    private HttpRequest requestFor(Attempt attempt) {
        IncomingRequest message = attempt.openRequest.message;
        HttpRequest original = message.head;
        HttpRequest request = message.complete() && message.receivedBytes() <= BodyBuffer.MAX_BLOCK_BYTES
                ? new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, original.method(), message.uri, message.retainedBody())
                : new DefaultHttpRequest(HttpVersion.HTTP_1_1, original.method(), message.uri);
        HttpHeaders headers = request.headers();
        headers.set(HttpHeaderNames.HOST, HOST_HEADER_VALUE);
        headers.set(HeaderNames.TRACE_ID, attempt.openRequest.traceId);
        headers.set(HeaderNames.EXPIRES_IN_MS, Long.toString((long)
                Math.max(1, attempt.openRequest.deadlineMs() - node.clock.now())));
        String key = original.headers().get(HeaderNames.IDEMPOTENCY_KEY);
        if (key != null) {
            headers.set(HeaderNames.IDEMPOTENCY_KEY, key);
        }
        String type = original.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        if (!message.complete() && message.declaredBytes < 0) {
            HttpUtil.setTransferEncodingChunked(request, true);
        } else if (!original.method().equals(HttpMethod.GET) || message.hasBody()) {
            headers.set(
                    HttpHeaderNames.CONTENT_LENGTH,
                    message.complete() ? message.receivedBytes() : message.declaredBytes);
        }
        return request;
    }

    /** Probes a host with a health check, or a load query if the settings name load metrics. */
    void probe(String host) {
        List<String> names = node.config.settings().loadMetricNames();
        String path = names.isEmpty() ? "/healthz" : "/load";
        double sentAtMs = node.clock.now();
        Exchange probe = new Exchange() {
            private boolean ended;

            @Override
            void onEnd(Outcome outcome, FullHttpResponse response) {
                if (!ended) {
                    ended = true;
                    node.probeEnded(
                            host,
                            outcome,
                            node.clock.now() - sentAtMs,
                            response == null
                                    ? new double[0]
                                    : responseReader.parseLoadMetrics(
                                            response.content().toString(StandardCharsets.US_ASCII)));
                }
            }
        };
        start(host, probe, () -> {
            FullHttpRequest message =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
            message.headers().set(HttpHeaderNames.HOST, HOST_HEADER_VALUE);
            return message;
        });
        node.loop.schedule(
                () -> {
                    if (probe.connection != null) {
                        probe.abandon();
                        probe.onEnd(Outcome.TIMEOUT, null);
                    }
                },
                (long) PROBE_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void start(String host, Exchange exchange, RequestFactory requestFactory) {
        HostPool pool = pools.get(host);
        if (pool == null) {
            exchange.onEnd(Outcome.CONNECT_FAILED, null); // the host was removed from the list
            return;
        }
        HostConnection idle = takeIdle(pool);
        if (idle != null) {
            idle.write(exchange, requestFactory.create());
            return;
        }
        if (!makeRoom()) {
            exchange.onEnd(Outcome.CONNECT_FAILED, null);
            return;
        }
        connect(pool, exchange, requestFactory);
    }

    /**
     * The most recently used connection that has been idle for {@link #REUSE_DELAY_MS}, or null. A late duplicate of
     * the previous response would be read as the response to the next request on the connection. It may have arrived
     * while the event loop was held up, so that the connection is read once more.
     */
    private HostConnection takeIdle(HostPool pool) {
        double now = node.clock.now();
        for (Iterator<HostConnection> lastFirst = pool.idle.descendingIterator(); lastFirst.hasNext(); ) {
            HostConnection connection = lastFirst.next();
            double idleMs = now - connection.idleSinceMs;
            if (idleMs < REUSE_DELAY_MS) {
                continue;
            }
            lastFirst.remove();
            if (idleMs <= pool.idleLimitMs && connection.nothingHasArrived()) {
                connection.idleBeforeRequestMs = idleMs;
                return connection;
            }
            if (!connection.channel.isActive()) {
                pool.lowerIdleLimit(idleMs); // closed by the host
            }
            connection.channel.close();
        }
        return null;
    }

    /** Creates a request when its connection is ready, as its remaining time depends on that. */
    private interface RequestFactory {
        HttpRequest create();
    }

    private void connect(HostPool pool, Exchange exchange, RequestFactory requestFactory) {
        connections++;
        HostConnection connection = new HostConnection(node, pool);
        pool.connecting.add(connection);
        connection.exchange = exchange;
        exchange.connection = connection;
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        connection.channel = ch;
                        ch.pipeline().addLast(connection.decoder, new HttpRequestEncoder(), connection);
                    }
                })
                .connect(pool.address);
        connecting.addListener(f -> node.runOnLoop(() -> {
            pool.connecting.remove(connection);
            if (!f.isSuccess()) { // also if no descriptor was left; then there is no channel to close
                connections--;
                connection.connectionLost();
                return;
            }
            connecting.channel().closeFuture().addListener(closed -> connections--);
            if (connection.exchange == exchange && exchange.maySend()) {
                connection.write(exchange, requestFactory.create());
            }
        }));
    }
}
