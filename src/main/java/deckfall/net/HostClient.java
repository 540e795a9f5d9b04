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

/** Connections to hosts, one request at a time on each, and what became of what was sent. */
final class HostClient {
    private static final String HOST = "backend.local";
    private static final String NEVER_RAN = "X-Never-Ran";
    private static final String REPORT = "Endpoint-Load-Metrics";
    private static final String USED = "X-Quota-Used";
    private static final int USED_MAX = 100_000; // in percent: more is no use that a gateway could act on
    private static final double IDLE_SHARE = 0.6; // of the time after which a host may close an idle connection
    private static final double TRUST_MIN_MS = 50; // so fresh a connection that its end says nothing of idleness
    private static final double TRUST_CUT = 0.8; // of the idle time at which a connection was found ended
    private static final double TRUST_GROWTH = 1.02; // a sweep, so that a spell of early closes passes
    private static final double PROMPT_MS = 50; // a reset so soon after a request: the host had closed before it
    private static final double REST_MS = 30; // a second copy of an answer may come some milliseconds after the first
    private static final long SWEEP_MS = 500;
    private static final int MOST_KEPT = 64 * 1024; // of an answer: beyond this it is passed on as it comes
    private static final double SOCKET_SHARE = 0.45; // of all descriptors
    /**
     * Descriptors for all else: 22 of a process that has just started, discovery and the counter, 16 callers at the
     * operator's address, files that are read anew, and those that are closed only at the loop's next turn, of which
     * a turn that accepts leaves up to 16.
     */
    static final int RESERVE = 64;

    private static final int MOST_RESERVED = 4; // one in so many, where there are few
    private static final double PROBE_TIMEOUT_MS = 250;

    private final Node node;
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Bootstrap bootstrap;
    private final int maxConnections;
    private final ConnectionLimits limits;
    private volatile int connections; // changed on the event loop alone

    HostClient(Node node) {
        this.node = node;
        this.maxConnections = most(node.config.sockets());
        this.limits = new ConnectionLimits(node.config.sockets());
        this.bootstrap = new Bootstrap()
                .group(node.loop)
                .channelFactory(RetryingSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ClientServer.WRITE_BUFFER_WATER_MARK)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ClientServer.readBufferAllocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, node.config.connectTimeoutMs()));
        node.loop.schedule(this::closeIdle, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** The most connections to hosts, where there are so many descriptors and clients hold all that they may. */
    static int most(int sockets) {
        int left = sockets - ConnectionLimits.maxKeepAlive(sockets) - reserve(sockets);
        return (int) Math.min(sockets * SOCKET_SHARE, left);
    }

    /** How many descriptors are left to all but clients and hosts, where there are so many. */
    static int reserve(int sockets) {
        return Math.min(RESERVE, sockets / MOST_RESERVED);
    }

    /** Something asked of a host that ends exactly once; its owner ignores what comes after. */
    abstract static class Exchange {
        private Connection connection;
        private boolean begun;

        /** Whether something of it may have left: until then it waits for a connection to come up. */
        final boolean begun() {
            return begun;
        }

        /** Whether it may still leave, asked in the turn in which its first byte would; if not, it has ended. */
        boolean mayLeave() {
            return true;
        }

        /** Its first byte leaves in this turn. */
        void leaves() {}

        /** Its host takes nothing new any more, and it had to wait for a connection there. */
        private void turnBack() {
            if (connection != null && !begun) {
                abandon();
                ended(Outcome.FULL, null);
            }
        }

        /** How it ended; the response, where there is one, is only lent. */
        abstract void ended(Outcome outcome, FullHttpResponse response);

        /** Whose body is passed on, where the message is a head alone. */
        IncomingRequest upload() {
            return null;
        }

        /** An answer too long to be kept has begun; null where nobody waits for such a one. */
        ResponseTransfer begun(HttpResponse head, ResponseTransfer.Source source) {
            return null;
        }

        /** Stops waiting: its connection closes, so late bytes can never reach another request. */
        final void abandon() {
            Connection c = connection;
            connection = null;
            if (c != null) {
                c.drop();
            }
        }
    }

    /** The connections to one host at one address in one life of its process. */
    private static final class Pool {
        final InetSocketAddress address;
        final double startedMs;
        final ArrayDeque<Connection> idle = new ArrayDeque<>(); // the last used at the end
        final Set<Connection> rising = new LinkedHashSet<>(); // each for what waits for it
        private final double mostIdleMs;
        double trustMs; // idle for longer than this, a connection is not used again
        boolean closed;

        Pool(InetSocketAddress address, double startedMs, double mostIdleMs) {
            this.address = address;
            this.startedMs = startedMs;
            this.mostIdleMs = mostIdleMs;
            this.trustMs = mostIdleMs;
        }

        /** The settings tell only the latest time at which a host closes an idle connection; this one was earlier. */
        void closedEarly(double idleMs) {
            if (idleMs > TRUST_MIN_MS) {
                trustMs = Math.max(TRUST_MIN_MS, Math.min(trustMs, idleMs * TRUST_CUT));
            }
        }

        void strand(List<Exchange> stranded) {
            rising.stream().map(c -> c.exchange).filter(Objects::nonNull).forEach(stranded::add);
        }

        void trustAgain() {
            trustMs = Math.min(mostIdleMs, trustMs * TRUST_GROWTH);
        }
    }

    // ---- the list

    /**
     * Takes the list over. What still waits for a connection to a host that is to get nothing new, or for one to a
     * former life of a host, would be sent by the time that it comes up: the caller turns it back, once the module
     * knows the list too.
     */
    Runnable listed(HostListKind kind, List<Discovery.Entry> entries) {
        List<Exchange> stranded = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (Discovery.Entry e : entries) {
            String id = e.host().id();
            named.add(id);
            Pool old = pools.get(id);
            boolean same = old != null
                    && old.address.equals(e.address())
                    && old.startedMs == e.host().startedMs();
            if (e.host().state() == HostState.GONE) {
                pools.remove(id);
                close(old, stranded);
            } else if (!same) {
                pools.put(id, new Pool(e.address(), e.host().startedMs(), node.config.idleMs() * IDLE_SHARE));
                close(old, stranded);
            } else if (e.host().state() == HostState.DRAINING) {
                old.strand(stranded);
            }
        }
        if (kind != HostListKind.CHANGES) {
            pools.entrySet().removeIf(p -> {
                boolean absent = !named.contains(p.getKey());
                if (absent) {
                    close(p.getValue(), stranded);
                }
                return absent;
            });
        }
        return () -> stranded.forEach(Exchange::turnBack);
    }

    /** From any thread: how many connections to hosts are open or come up. */
    int connections() {
        return connections;
    }

    /** How many all processes of this gateway hold. */
    int held() {
        return node.heldByAll(connections, SiblingWatch.Siblings::hosts);
    }

    /** How many hosts the list names. */
    int listed() {
        return pools.size();
    }

    private void close(Pool pool, List<Exchange> stranded) {
        if (pool != null) {
            pool.strand(stranded);
            pool.closed = true;
            List<Connection> ended = List.copyOf(pool.idle);
            pool.idle.clear();
            ended.forEach(c -> c.channel.close());
        }
    }

    private void closeIdle() {
        node.loop.schedule(this::closeIdle, SWEEP_MS, TimeUnit.MILLISECONDS);
        for (Pool pool : pools.values()) {
            pool.trustAgain();
            double before = node.clock.now() - pool.trustMs;
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().idleSince < before) {
                pool.idle.pollFirst().channel.close();
            }
        }
    }

    /** Makes room for one more connection at the cost of one that is idle somewhere. */
    private boolean room() {
        int most = Math.min(maxConnections, limits.maxHosts(node.clientsHeld()));
        if (held() < most) {
            return true;
        }
        for (Pool pool : pools.values()) {
            Connection c = pool.idle.pollFirst();
            if (c != null) {
                c.channel.close();
                return true;
            }
        }
        return false;
    }

    // ---- asking

    void send(Attempt a) {
        start(a.host, a, () -> attemptMessage(a));
    }

    /** The whole message where its body has come, else the head alone. */
    private HttpRequest attemptMessage(Attempt a) {
        IncomingRequest message = a.owner.message;
        HttpRequest from = message.head;
        HttpRequest to = message.complete()
                ? new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), message.uri, message.retainedBody())
                : new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), message.uri);
        HttpHeaders h = to.headers();
        h.set(HttpHeaderNames.HOST, HOST);
        h.set(HeaderNames.TRACE_ID, a.owner.traceId);
        h.set(HeaderNames.EXPIRES_IN_MS, Long.toString((long) Math.max(1, a.owner.deadlineMs - node.clock.now())));
        String key = from.headers().get(HeaderNames.IDEMPOTENCY_KEY);
        if (key != null) {
            h.set(HeaderNames.IDEMPOTENCY_KEY, key);
        }
        String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            h.set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        if (!message.complete() && message.declaredBytes < 0) {
            HttpUtil.setTransferEncodingChunked(to, true);
        } else if (!from.method().equals(HttpMethod.GET) || message.hasBody()) {
            h.set(HttpHeaderNames.CONTENT_LENGTH, message.complete() ? message.receivedBytes() : message.declaredBytes);
        }
        return to;
    }

    void probe(String host) {
        List<String> names = node.config.settings().loadMetricNames();
        String path = names.isEmpty() ? "/healthz" : "/load";
        double sentAt = node.clock.now();
        Exchange probe = new Exchange() {
            private boolean over;

            @Override
            void ended(Outcome outcome, FullHttpResponse response) {
                if (!over) {
                    over = true;
                    node.probed(
                            host,
                            outcome,
                            node.clock.now() - sentAt,
                            response == null
                                    ? new double[0]
                                    : parse(response.content().toString(StandardCharsets.US_ASCII)));
                }
            }
        };
        start(host, probe, () -> {
            FullHttpRequest message =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
            message.headers().set(HttpHeaderNames.HOST, HOST);
            return message;
        });
        node.loop.schedule(
                () -> {
                    if (probe.connection != null) {
                        probe.abandon();
                        probe.ended(Outcome.TIMEOUT, null);
                    }
                },
                (long) PROBE_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void start(String host, Exchange x, Message message) {
        Pool pool = pools.get(host);
        if (pool == null) {
            x.ended(Outcome.CONNECT_FAILED, null); // its address was taken from the list
            return;
        }
        Connection kept = takeIdle(pool);
        if (kept != null) {
            kept.write(x, message.build());
            return;
        }
        if (!room()) {
            x.ended(Outcome.CONNECT_FAILED, null);
            return;
        }
        connect(pool, x, message);
    }

    /**
     * The connection used last that has rested since its answer: a second copy of that, which may come late, would
     * be read as the answer to what is asked on it next.
     */
    private Connection takeIdle(Pool pool) {
        double now = node.clock.now();
        for (Iterator<Connection> lastFirst = pool.idle.descendingIterator(); lastFirst.hasNext(); ) {
            Connection c = lastFirst.next();
            double idleMs = now - c.idleSince;
            if (idleMs < REST_MS) {
                continue;
            }
            lastFirst.remove();
            if (c.channel.isActive() && idleMs <= pool.trustMs) {
                c.idleBeforeMs = idleMs;
                return c;
            }
            c.channel.close();
        }
        return null;
    }

    private interface Message {
        HttpRequest build();
    }

    private void connect(Pool pool, Exchange x, Message message) {
        connections++;
        Connection c = new Connection(pool);
        pool.rising.add(c);
        c.exchange = x;
        x.connection = c;
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        c.channel = ch;
                        ch.pipeline().addLast(c.decoder, new HttpRequestEncoder(), c);
                    }
                })
                .connect(pool.address);
        connecting.addListener(f -> node.onLoop(() -> {
            pool.rising.remove(c);
            if (!f.isSuccess()) { // also where no descriptor was left: then there is no channel to close
                connections--;
                c.lost();
                return;
            }
            connecting.channel().closeFuture().addListener(closed -> connections--);
            if (c.exchange == x && x.mayLeave()) {
                c.write(x, message.build());
            }
        }));
    }

    /** One connection to a host. */
    private final class Connection extends ChannelInboundHandlerAdapter
            implements ResponseTransfer.Source, IncomingRequest.BodyReceiver {
        private final Pool pool;
        private final StrictResponseDecoder decoder = new StrictResponseDecoder();
        private SocketChannel channel;
        private Exchange exchange;
        private IncomingRequest upload; // whose body is passed on here
        private HttpResponse head; // of the answer that is coming
        private ByteBuf body = Unpooled.EMPTY_BUFFER; // what is kept of it
        private ResponseTransfer transfer; // where it is no longer kept
        private FullHttpResponse answer; // whole, until all that came with it has been read
        private boolean passedOn; // the same, where it was transferred
        private boolean surplus; // more has come than was asked for
        private boolean written; // the request's last byte has left
        private double idleSince;
        private double idleBeforeMs; // before what is asked now
        private double wroteAt;

        Connection(Pool pool) {
            this.pool = pool;
        }

        void write(Exchange x, HttpRequest message) {
            exchange = x;
            x.connection = this;
            x.begun = true;
            x.leaves();
            written = false;
            wroteAt = node.clock.now();
            if (message instanceof FullHttpRequest) {
                channel.writeAndFlush(message).addListener(f -> wrote(x, f.isSuccess()));
            } else {
                channel.write(message, channel.voidPromise());
                upload = x.upload();
                upload.streamTo(this);
            }
        }

        /** What was asked has left, or could not: also where nobody waits for the answer any more. */
        private void wrote(Exchange x, boolean all) {
            if (all && x instanceof Attempt) {
                node.figures.recordDispatch();
            }
            if (exchange != x) {
                return;
            }
            written = all;
            if (!written) {
                lost();
                channel.close();
            }
        }

        @Override
        public void writeBody(ByteBuf content) {
            channel.writeAndFlush(new DefaultHttpContent(content), channel.voidPromise());
        }

        @Override
        public void finishBody() {
            Exchange x = exchange;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> {
                if (x instanceof Attempt a) {
                    a.sentAt = node.clock.now();
                }
                wrote(x, f.isSuccess());
            });
        }

        @Override
        public boolean writable() {
            return channel.isWritable();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (upload != null) {
                upload.fireAcceptsMore();
            }
        }

        private String idAsked() {
            return exchange instanceof Attempt a ? a.owner.traceId : "none";
        }

        /** What was asked here ended without an answer. It may have run only once its last byte had left. */
        private void lost() {
            if (exchange != null && idleBeforeMs > TRUST_MIN_MS && node.clock.now() - wroteAt < PROMPT_MS) {
                node.tally.note(
                        Tally.Count.CLOSED_EARLY,
                        idAsked(),
                        pool.address.toString(),
                        "its connection had been idle for " + (long) idleBeforeMs + " ms");
                pool.closedEarly(idleBeforeMs);
            }
            ResponseTransfer broken = transfer;
            transfer = null;
            if (broken != null) {
                broken.abort();
            }
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }

        private void end(Outcome outcome, FullHttpResponse response) {
            Exchange x = exchange;
            exchange = null;
            stopUpload();
            if (x != null) {
                x.connection = null;
                x.ended(outcome, response);
            }
        }

        private void stopUpload() {
            IncomingRequest stopped = upload;
            upload = null;
            if (stopped != null) {
                stopped.detach(this);
            }
        }

        void drop() {
            exchange = null;
            stopUpload();
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            node.loopDelay.observeDelayMs();
            try {
                HttpObject object = (HttpObject) message;
                if (exchange == null && transfer == null || answer != null) {
                    surplus = true; // nobody asked, or nobody waits any more
                    if (object instanceof HttpResponse) {
                        node.tally.add(Tally.Count.SURPLUS);
                    }
                    channel.close();
                } else if (object.decoderResult().isFailure()) {
                    unreadable(String.valueOf(object.decoderResult().cause()));
                } else {
                    read(object);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(HttpObject object) {
            if (object instanceof HttpResponse response) {
                if (!bounded(response)) {
                    unreadable("nothing tells the length of " + response.status() + ", "
                            + response.headers().names());
                    return;
                }
                boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                head = interim ? null : response;
            }
            if (object instanceof HttpContent content && head != null) {
                part(content);
            }
        }

        /**
         * Whether it shows where the answer ends. The end of the connection can, where the host has announced it and
         * it is no reset; unannounced it can't be told from a break.
         */
        private boolean bounded(HttpResponse response) {
            return HttpUtil.isContentLengthSet(response)
                    || HttpUtil.isTransferEncodingChunked(response)
                    || response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                            && response.headers()
                                    .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        }

        private void unreadable(String why) {
            node.tally.note(Tally.Count.UNREADABLE, idAsked(), pool.address.toString(), why);
            lost();
            channel.close();
        }

        private void part(HttpContent content) {
            int bytes = content.content().readableBytes();
            if (transfer == null && body.readableBytes() + bytes > MOST_KEPT && !passOn()) {
                unreadable("longer than any answer that is kept");
                return;
            }
            if (transfer != null) {
                transfer.write(content.content().retain());
            } else if (bytes > 0) {
                keep(content.content());
            }
            if (content instanceof LastHttpContent) {
                whole();
            }
        }

        private void keep(ByteBuf content) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = channel.alloc().buffer(content.readableBytes());
            }
            body.writeBytes(content);
        }

        private ByteBuf takeBody() {
            ByteBuf kept = body;
            body = Unpooled.EMPTY_BUFFER;
            return kept;
        }

        /** Begins to pass the answer on, if it is one that a client waits for. */
        private boolean passOn() {
            boolean good = written && outcome(head) == Outcome.OK;
            transfer = good ? exchange.begun(head, this) : null;
            if (transfer == null) {
                return false;
            }
            exchange.connection = null;
            exchange = null;
            transfer.write(takeBody());
            return true;
        }

        private void whole() {
            if (transfer == null) {
                answer = new DefaultFullHttpResponse(
                        head.protocolVersion(), head.status(), takeBody(), head.headers(), EmptyHttpHeaders.INSTANCE);
                return;
            }
            ResponseTransfer done = transfer;
            transfer = null;
            passedOn = true;
            done.finish();
        }

        /**
         * An answer ends its exchange only here: what came behind it, a second copy or a longer body than it told,
         * would be read as the answer to whatever is asked next on this connection.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            FullHttpResponse response = answer;
            answer = null;
            if (transfer != null) {
                transfer.flush();
            } else if (passedOn) {
                passedOn = false;
                setReading(true);
                keepOrClose();
            } else if (response == null) {
                if (exchange == null && decoder.holdsBytes()) {
                    channel.close();
                }
            } else {
                try {
                    keepOrClose();
                    end(outcome(response), response);
                } finally {
                    response.release();
                }
            }
        }

        private void keepOrClose() {
            if (written && !surplus && !decoder.holdsBytes() && !pool.closed && HttpUtil.isKeepAlive(head)) {
                idleSince = node.clock.now();
                pool.idle.addLast(this);
            } else {
                channel.close();
            }
            head = null;
        }

        @Override
        public void setReading(boolean on) {
            if (channel.config().isAutoRead() != on) {
                channel.config().setAutoRead(on);
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
                pool.closedEarly(node.clock.now() - idleSince); // by the host: what is closed here left the pool first
            }
            lost();
            takeBody().release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            lost();
            channel.close();
        }
    }

    private static Outcome outcome(HttpResponse response) {
        int code = response.status().code();
        if (code == HttpResponseStatus.OK.code()) {
            return Outcome.OK;
        }
        boolean turnedAway = code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || code == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        return turnedAway && "1".equals(response.headers().get(NEVER_RAN)) ? Outcome.FULL : Outcome.ERROR;
    }

    // ---- the meter

    /** One more than the customer's told use in percent; 0 where no value of the answer can be read. */
    int usedPct(HttpResponse response) {
        int used = 0;
        for (String value : response.headers().getAll(USED)) {
            try {
                used = Math.max(used, 1 + Math.min(USED_MAX, Integer.parseInt(value.trim())));
            } catch (NumberFormatException e) {
                // a damaged line beside a good one tells nothing
            }
        }
        return used;
    }

    // ---- load reports

    double[] report(HttpResponse response) {
        String text = response.headers().get(REPORT);
        return text == null ? new double[0] : parse(text);
    }

    /** The named values of {@code TEXT a=1, b=2}, in the order of the settings; empty where one is missing. */
    private double[] parse(String text) {
        List<String> names = node.config.settings().loadMetricNames();
        Map<String, Double> told = new HashMap<>();
        for (String part : text.substring(text.indexOf(' ') + 1).split(",")) {
            int equals = part.indexOf('=');
            try {
                told.put(
                        part.substring(0, Math.max(0, equals)).trim(),
                        Double.valueOf(part.substring(equals + 1).trim()));
            } catch (NumberFormatException e) {
                return new double[0];
            }
        }
        return told.keySet().containsAll(names)
                ? names.stream().mapToDouble(told::get).toArray()
                : new double[0];
    }
}
