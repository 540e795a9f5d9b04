package deckfall.net;

import deckfall.Gateway.HostListKind;
import deckfall.Gateway.HostState;
import deckfall.Gateway.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Pooled HTTP/1.1 connections to hosts, with one request at a time on each, and the outcome of what was sent. */
final class HostClient {
    private static final String HOST_HEADER_VALUE = "backend.local";
    private static final String NEVER_RAN_HEADER = "X-Never-Ran";
    private static final String LOAD_METRICS_HEADER = "Endpoint-Load-Metrics";
    private static final String QUOTA_USED_HEADER = "X-Quota-Used";
    private static final int MAX_USED_PCT = 100_000; // a larger value makes no difference to a gateway
    // of the time after which a host may close an idle connection
    private static final double IDLE_LIMIT_FRACTION = 0.6;
    // a close after a shorter idle time says nothing about the host's idle timeout
    private static final double MIN_IDLE_LIMIT_MS = 50;
    // of the idle time at which a host closed a connection
    private static final double IDLE_LIMIT_DECREASE_FACTOR = 0.8;
    private static final double IDLE_LIMIT_GROWTH_FACTOR = 1.02; // per sweep, to recover from a period of early closes
    // after a write began; a reset within this time means that the host had closed the connection before it
    private static final double STALE_CONNECTION_MS = 50;
    // a duplicate of a response may arrive some milliseconds after it
    private static final double REUSE_DELAY_MS = 30;
    private static final long IDLE_SWEEP_INTERVAL_MS = 500;
    private static final int MAX_BUFFERED_BYTES = 64 * 1024; // of a response; a longer one is streamed
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
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Bootstrap bootstrap;
    private final int maxConnections;
    private final ConnectionLimits connectionLimits;
    private volatile int connections; // written on the event loop only

    HostClient(Node node) {
        this.node = node;
        this.maxConnections = connectionLimit(node.config.sockets());
        this.connectionLimits = new ConnectionLimits(node.config.sockets());
        this.bootstrap = new Bootstrap()
                .group(node.loop)
                .channelFactory(RetryingSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ClientServer.WRITE_BUFFER_WATER_MARK)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ClientServer.readBufferAllocator())
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

    /** One request to a host. Its first end counts; implementations of {@link #onEnd} ignore later calls. */
    abstract static class Exchange {
        private Connection connection;
        private boolean started;

        /** Whether bytes of the request may have been sent. Until then it waits for a connection. */
        final boolean started() {
            return started;
        }

        /**
         * Whether the request may still be sent. Called in the loop iteration that would write its first byte. If it
         * returns false, the exchange has ended.
         */
        boolean maySend() {
            return true;
        }

        /** Whether the last byte of the request was sent. */
        final boolean requestWritten() {
            return connection != null && connection.requestWritten;
        }

        /** How much of the response has been received, for the log; null if nothing has. */
        final String responseProgress() {
            return connection == null ? null : connection.responseProgress();
        }

        /** Called just before the first byte is written. */
        void beforeWrite() {}

        /**
         * Ends the exchange as {@code FULL} if it still waits for a connection, as its host takes no more new
         * requests.
         */
        private void rejectIfWaiting() {
            if (connection != null && !started) {
                abandon();
                onEnd(Outcome.FULL, null);
            }
        }

        /** Called at the end. The response, if there is one, is released after the call. */
        abstract void onEnd(Outcome outcome, FullHttpResponse response);

        /** The message whose body is streamed if only its head is sent at first; else null. */
        IncomingRequest requestBody() {
            return null;
        }

        /**
         * Called when a response starts that is too long to be buffered. Returns null if nothing waits for a streamed
         * response.
         */
        ResponseTransfer responseStarted(HttpResponse head, ResponseTransfer.Source source) {
            return null;
        }

        /** Abandons the exchange and closes its connection, so that late bytes never reach another request. */
        final void abandon() {
            Connection c = connection;
            connection = null;
            if (c != null) {
                c.discard();
            }
        }
    }

    /** The connections to one host at one address. A host that has restarted gets a new pool. */
    private static final class Pool {
        final InetSocketAddress address;
        final double startedMs;
        final ArrayDeque<Connection> idle = new ArrayDeque<>(); // in order of last use, the most recent at the end
        final Set<Connection> connecting = new LinkedHashSet<>(); // each with the exchange that waits for it
        private final double maxIdleLimitMs;
        double idleLimitMs; // a connection that was idle for longer is not reused
        boolean closed;

        Pool(InetSocketAddress address, double startedMs, double maxIdleLimitMs) {
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
            Pool oldPool = pools.get(id);
            boolean sameProcess = oldPool != null
                    && oldPool.address.equals(entry.address())
                    && oldPool.startedMs == entry.host().startedMs();
            if (entry.host().state() == HostState.GONE) {
                pools.remove(id);
                closePool(oldPool, waiting);
            } else if (!sameProcess) {
                pools.put(
                        id,
                        new Pool(
                                entry.address(),
                                entry.host().startedMs(),
                                node.config.connectionIdleMs() * IDLE_LIMIT_FRACTION));
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

    private void closePool(Pool pool, List<Exchange> waiting) {
        if (pool != null) {
            pool.addWaiting(waiting);
            pool.closed = true;
            List<Connection> ended = List.copyOf(pool.idle);
            pool.idle.clear();
            ended.forEach(c -> c.channel.close());
        }
    }

    private void closeIdle() {
        node.loop.schedule(this::closeIdle, IDLE_SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        for (Pool pool : pools.values()) {
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
        for (Pool pool : pools.values()) {
            Connection connection = pool.idle.pollFirst();
            if (connection != null) {
                connection.channel.close();
                return true;
            }
        }
        return false;
    }

    // ---- requests

    /** Sends an attempt to its host. Its end is reported by {@link Exchange#onEnd}. */
    void send(Attempt attempt) {
        start(attempt.host, attempt, () -> requestFor(attempt));
    }

    /** The complete message if its body has been received, else only its head. */
    private HttpRequest requestFor(Attempt attempt) {
        IncomingRequest message = attempt.openRequest.message;
        HttpRequest original = message.head;
        HttpRequest request = message.complete()
                ? new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, original.method(), message.uri, message.retainedBody())
                : new DefaultHttpRequest(HttpVersion.HTTP_1_1, original.method(), message.uri);
        HttpHeaders headers = request.headers();
        headers.set(HttpHeaderNames.HOST, HOST_HEADER_VALUE);
        headers.set(HeaderNames.TRACE_ID, attempt.openRequest.traceId);
        headers.set(HeaderNames.EXPIRES_IN_MS, Long.toString((long)
                Math.max(1, attempt.openRequest.deadlineMs - node.clock.now())));
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
                                    : parseLoadMetrics(response.content().toString(StandardCharsets.US_ASCII)));
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
        Pool pool = pools.get(host);
        if (pool == null) {
            exchange.onEnd(Outcome.CONNECT_FAILED, null); // the host was removed from the list
            return;
        }
        Connection idle = takeIdle(pool);
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
     * the previous response would be read as the response to the next request on the connection.
     */
    private Connection takeIdle(Pool pool) {
        double now = node.clock.now();
        for (Iterator<Connection> lastFirst = pool.idle.descendingIterator(); lastFirst.hasNext(); ) {
            Connection connection = lastFirst.next();
            double idleMs = now - connection.idleSinceMs;
            if (idleMs < REUSE_DELAY_MS) {
                continue;
            }
            lastFirst.remove();
            if (connection.channel.isActive() && idleMs <= pool.idleLimitMs) {
                connection.idleBeforeRequestMs = idleMs;
                return connection;
            }
            connection.channel.close();
        }
        return null;
    }

    /** Creates a request when its connection is ready, as its remaining time depends on that. */
    private interface RequestFactory {
        HttpRequest create();
    }

    private void connect(Pool pool, Exchange exchange, RequestFactory requestFactory) {
        connections++;
        Connection connection = new Connection(pool);
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

    /** One connection to a host. */
    private final class Connection extends ChannelInboundHandlerAdapter
            implements ResponseTransfer.Source, IncomingRequest.BodyReceiver, MemoryBudget.Holder {
        private final Pool pool;
        private final MemoryBudget.Account account = node.memoryBudget.openAccount(this);
        private final StrictResponseDecoder decoder = new StrictResponseDecoder(account);
        private SocketChannel channel;
        private Exchange exchange;
        private IncomingRequest streamedBody; // the message whose body is being streamed
        private HttpResponse responseHead; // of the response that is being received
        private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER; // the part of the response body that is buffered
        private int bufferedCapacity; // of that buffer, as counted in the memory budget
        private ResponseTransfer transfer; // set while the response is streamed
        private FullHttpResponse completeResponse; // set until all bytes that were read with it are processed
        private boolean transferComplete; // the same for a streamed response
        private boolean unexpectedData; // data arrived that no request asked for
        private boolean requestWritten; // the last byte of the request was sent
        private double idleSinceMs;
        private double idleBeforeRequestMs; // how long the connection was idle before the current request
        private double writeStartedAtMs;
        private double headReceivedAtMs; // of the response that is being received

        Connection(Pool pool) {
            this.pool = pool;
        }

        void write(Exchange next, HttpRequest message) {
            exchange = next;
            next.connection = this;
            next.started = true;
            next.beforeWrite();
            requestWritten = false;
            writeStartedAtMs = node.clock.now();
            if (message instanceof FullHttpRequest) {
                channel.writeAndFlush(message).addListener(f -> onRequestWritten(next, f.isSuccess()));
            } else {
                channel.write(message, channel.voidPromise());
                streamedBody = next.requestBody();
                streamedBody.streamTo(this);
            }
        }

        /** The request was sent, or its write failed. Also called if the exchange has been abandoned. */
        private void onRequestWritten(Exchange sent, boolean success) {
            if (success && sent instanceof Attempt) {
                node.metrics.recordDispatch();
            }
            if (exchange != sent) {
                return;
            }
            requestWritten = success;
            if (!requestWritten) {
                connectionLost();
                channel.close();
            }
        }

        @Override
        public void writeBody(ByteBuf content) {
            channel.writeAndFlush(new DefaultHttpContent(content), channel.voidPromise());
        }

        @Override
        public void finishBody() {
            Exchange current = exchange;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> {
                if (current instanceof Attempt a) {
                    a.sentAtMs = node.clock.now();
                }
                onRequestWritten(current, f.isSuccess());
            });
        }

        @Override
        public boolean writable() {
            return channel.isWritable();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (streamedBody != null) {
                streamedBody.fireAcceptsMore();
            }
        }

        private String responseProgress() {
            if (responseHead == null) {
                return null;
            }
            return bufferedBody.readableBytes() + " of "
                    + responseHead.headers().get(HttpHeaderNames.CONTENT_LENGTH, "unknown")
                    + " body bytes received, head "
                    + (long) (node.clock.now() - headReceivedAtMs) + " ms ago";
        }

        private String traceId() {
            return exchange instanceof Attempt a ? a.openRequest.traceId : "none";
        }

        /** Ends the exchange without a response. The host may have run the request only if its last byte was sent. */
        private void connectionLost() {
            if (exchange != null
                    && idleBeforeRequestMs > MIN_IDLE_LIMIT_MS
                    && node.clock.now() - writeStartedAtMs < STALE_CONNECTION_MS) {
                node.tally.note(
                        Tally.Count.CLOSED_EARLY,
                        traceId(),
                        pool.address.toString(),
                        "the connection had been idle for " + (long) idleBeforeRequestMs + " ms");
                pool.lowerIdleLimit(idleBeforeRequestMs);
            }
            ResponseTransfer broken = transfer;
            transfer = null;
            if (broken != null) {
                broken.abort();
            }
            endExchange(requestWritten ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }

        private void endExchange(Outcome outcome, FullHttpResponse response) {
            Exchange current = exchange;
            exchange = null;
            stopStreaming();
            if (current != null) {
                current.connection = null;
                current.onEnd(outcome, response);
            }
        }

        private void stopStreaming() {
            IncomingRequest stopped = streamedBody;
            streamedBody = null;
            if (stopped != null) {
                stopped.detach(this);
            }
        }

        /** Closes the connection without reporting an end to its exchange. */
        void discard() {
            exchange = null;
            stopStreaming();
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            node.eventLoopLag.observeDelayMs();
            try {
                HttpObject object = (HttpObject) message;
                if (exchange == null && transfer == null || completeResponse != null) {
                    unexpectedData = true; // there was no request, or it was abandoned
                    if (object instanceof HttpResponse) {
                        node.tally.add(Tally.Count.SURPLUS);
                    }
                    channel.close();
                } else if (object.decoderResult().isFailure()) {
                    rejectResponse(String.valueOf(object.decoderResult().cause()));
                } else {
                    handleObject(object);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void handleObject(HttpObject object) {
            if (object instanceof HttpResponse response) {
                if (!isDelimited(response)) {
                    rejectResponse("no length and no close announced for " + response.status() + ", "
                            + response.headers().names());
                    return;
                }
                headReceivedAtMs = node.clock.now();
                boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                responseHead = interim ? null : response;
                if (interim) {
                    releaseFields(response.headers());
                }
            }
            if (object instanceof HttpContent content && responseHead != null) {
                handleContent(content);
            }
            if (object instanceof LastHttpContent last) {
                releaseFields(last.trailingHeaders()); // trailers are not used
            }
        }

        private static void releaseFields(HttpHeaders headers) {
            CountedHeaders counted = CountedHeaders.of(headers);
            if (counted != null) {
                counted.release();
            }
        }

        /** Drops what the account counts, and ends the attempt as for a response that can't be read. */
        @Override
        public void giveUp() {
            node.recordMemoryRejection(MemoryUse.HOST_RESPONSE);
            decoder.discard();
            CountedHeaders head = responseHead == null ? null : CountedHeaders.of(responseHead.headers());
            if (head != null && completeResponse == null) {
                head.clear();
            }
            node.loop.execute(ErrorReport.contain("host connection not ended", this::endAfterGivingUp));
        }

        private void endAfterGivingUp() {
            if (exchange != null || transfer != null) {
                rejectResponse("no memory for its head");
            } else {
                channel.close();
            }
        }

        /**
         * Whether the end of the response can be recognized. The end of the connection marks it only if the host has
         * announced that with a Connection: close header and the connection is not reset; an unannounced end cannot be
         * told from a failure.
         */
        private boolean isDelimited(HttpResponse response) {
            return HttpUtil.isContentLengthSet(response)
                    || HttpUtil.isTransferEncodingChunked(response)
                    || response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                            && response.headers()
                                    .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        }

        private void rejectResponse(String reason) {
            node.tally.note(Tally.Count.UNREADABLE, traceId(), pool.address.toString(), reason);
            connectionLost();
            channel.close();
        }

        private void handleContent(HttpContent content) {
            int bytes = content.content().readableBytes();
            int size = bufferedBody.readableBytes() + bytes;
            boolean tooLong = size > MAX_BUFFERED_BYTES || bytes > 0 && node.memoryBudget.refuses(size);
            if (transfer == null && tooLong && !startTransfer()) {
                rejectResponse("response too long to be buffered");
                return;
            }
            if (transfer != null) {
                transfer.write(content.content().retain());
            } else if (bytes > 0) {
                buffer(content.content());
            }
            if (content instanceof LastHttpContent) {
                responseComplete();
            }
        }

        private void buffer(ByteBuf content) {
            if (bufferedBody == Unpooled.EMPTY_BUFFER) {
                bufferedBody = channel.alloc().buffer(content.readableBytes());
            }
            bufferedBody.writeBytes(content);
            node.memoryBudget.reserve(bufferedBody.capacity() - bufferedCapacity);
            bufferedCapacity = bufferedBody.capacity();
        }

        private ByteBuf takeBufferedBody() {
            ByteBuf body = bufferedBody;
            node.memoryBudget.release(bufferedCapacity);
            bufferedCapacity = 0;
            bufferedBody = Unpooled.EMPTY_BUFFER;
            return body;
        }

        /** Starts to stream the response if it is successful and a client waits for it. */
        private boolean startTransfer() {
            boolean success = requestWritten && outcome(responseHead) == Outcome.OK;
            transfer = success ? exchange.responseStarted(responseHead, this) : null;
            if (transfer == null) {
                return false;
            }
            exchange.connection = null;
            exchange = null;
            transfer.write(takeBufferedBody());
            return true;
        }

        private void responseComplete() {
            if (transfer == null) {
                completeResponse = new DefaultFullHttpResponse(
                        responseHead.protocolVersion(),
                        responseHead.status(),
                        takeBufferedBody(),
                        responseHead.headers(),
                        EmptyHttpHeaders.INSTANCE);
                return;
            }
            ResponseTransfer done = transfer;
            transfer = null;
            transferComplete = true;
            done.finish();
        }

        /**
         * Ends the exchange only once all received bytes are processed. Bytes after the response, such as a duplicate
         * or a body that is longer than declared, would be read as the response to the next request on this connection.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            FullHttpResponse response = completeResponse;
            completeResponse = null;
            if (transfer != null) {
                transfer.flush();
            } else if (transferComplete) {
                transferComplete = false;
                setReading(true);
                reuseOrClose();
            } else if (response == null) {
                if (exchange == null && decoder.hasPartialMessage()) {
                    channel.close();
                }
            } else {
                try {
                    reuseOrClose();
                    endExchange(outcome(response), response);
                } finally {
                    response.release();
                }
            }
        }

        private void reuseOrClose() {
            if (requestWritten
                    && !unexpectedData
                    && !decoder.hasPartialMessage()
                    && !pool.closed
                    && !account.closed()
                    && HttpUtil.isKeepAlive(responseHead)) {
                idleSinceMs = node.clock.now();
                pool.idle.addLast(this);
            } else {
                channel.close();
            }
            releaseFields(responseHead.headers());
            responseHead = null;
        }

        @Override
        public void setReading(boolean reading) {
            if (channel.config().isAutoRead() != reading) {
                channel.config().setAutoRead(reading);
            }
        }

        @Override
        public void abandon() {
            transfer = null;
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (pool.idle.remove(this)) {
                // Closed by the host: connections that this side closes leave the pool first.
                pool.lowerIdleLimit(node.clock.now() - idleSinceMs);
            }
            connectionLost();
            takeBufferedBody().release();
            account.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof Error) {
                ErrorReport.report("host connection closed", cause);
            }
            connectionLost();
            channel.close();
        }
    }

    private static Outcome outcome(HttpResponse response) {
        int code = response.status().code();
        if (code == HttpResponseStatus.OK.code()) {
            return Outcome.OK;
        }
        boolean overloaded = code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || code == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        return overloaded && "1".equals(response.headers().get(NEVER_RAN_HEADER)) ? Outcome.FULL : Outcome.ERROR;
    }

    // ---- quota meter

    /** The customer's reported use of its quota in percent, plus one; 0 if the response has no readable value. */
    int meterReading(HttpResponse response) {
        int reading = 0;
        for (String value : response.headers().getAll(QUOTA_USED_HEADER)) {
            try {
                reading = Math.max(reading, 1 + Math.min(MAX_USED_PCT, Integer.parseInt(value.trim())));
            } catch (NumberFormatException e) {
                // a malformed header line is ignored
            }
        }
        return reading;
    }

    // ---- load metrics

    /** The load metrics that the response reports; empty if it has none that can be parsed. */
    double[] loadMetrics(HttpResponse response) {
        String text = response.headers().get(LOAD_METRICS_HEADER);
        return text == null ? new double[0] : parseLoadMetrics(text);
    }

    /**
     * Parses {@code TEXT a=1, b=2}. Returns the values named in the settings, in their order, or an empty array if one
     * is missing.
     */
    private double[] parseLoadMetrics(String text) {
        List<String> names = node.config.settings().loadMetricNames();
        Map<String, Double> values = new HashMap<>();
        for (String part : text.substring(text.indexOf(' ') + 1).split(",")) {
            int separator = part.indexOf('=');
            try {
                values.put(
                        part.substring(0, Math.max(0, separator)).trim(),
                        Double.valueOf(part.substring(separator + 1).trim()));
            } catch (NumberFormatException e) {
                return new double[0];
            }
        }
        return values.keySet().containsAll(names)
                ? names.stream().mapToDouble(values::get).toArray()
                : new double[0];
    }
}
