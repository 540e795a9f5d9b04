package deckfall.soak;

import deckfall.soak.RuleChecker.End;
import deckfall.soak.RuleChecker.Request;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Simulates the clients of one gateway on one event loop. Requests are sent at exponentially distributed intervals,
 * on new or reused connections. Some clients disconnect early, some write a request in two parts, some pipeline several
 * requests, and many may hold idle connections.
 */
final class LoadGenerator {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final double REUSE_SHARE = 0.5; // of the requests, if an idle connection is available
    private static final double DISCONNECT_SHARE = 0.08;
    private static final int MAX_DISCONNECT_DELAY_MS = 20;
    private static final double SPLIT_WRITE_SHARE = 0.03;
    private static final int MAX_SPLIT_DELAY_MS = 60; // between the two parts
    private static final double PIPELINE_SHARE = 0.01;
    private static final int PIPELINE_DEPTH = 4;
    private static final double BOOKING_SHARE = 0.25;
    private static final long LOOKUP_DEADLINE_MS = 400;
    private static final long BOOKING_DEADLINE_MS = 600;
    private static final long LOST_AFTER_DEADLINE_MS = 500; // a response that comes later no longer counts
    private static final double NEGLIGIBLE_LAG_MS = 20;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long IDLE_CONNECTION_LIFETIME_MS = 1500;

    private final EventLoop eventLoop;
    private final RuleChecker checker;
    private final int gatewayNumber;
    private final InetSocketAddress address;
    private final Random random;
    private final double meanIntervalMs;
    private final int maxIdleConnections;
    private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
    private volatile boolean newConnectionsAllowed = true; // false while the load balancer excludes the gateway
    private volatile boolean running = true;
    private int requestCount;

    LoadGenerator(
            EventLoop eventLoop,
            RuleChecker checker,
            int gatewayNumber,
            InetSocketAddress address,
            long seed,
            double requestsPerSecond,
            int maxIdleConnections) {
        this.eventLoop = eventLoop;
        this.checker = checker;
        this.gatewayNumber = gatewayNumber;
        this.address = address;
        this.random = new Random(seed);
        this.meanIntervalMs = 1000 / requestsPerSecond;
        this.maxIdleConnections = maxIdleConnections;
    }

    /** The longest deadline of a request. */
    static long longestDeadlineMs() {
        return Math.max(LOOKUP_DEADLINE_MS, BOOKING_DEADLINE_MS);
    }

    /** The time after the last request until every request has ended. */
    static long settleTimeMs() {
        return longestDeadlineMs() + LOST_AFTER_DEADLINE_MS + CONNECT_TIMEOUT_MS;
    }

    /** Starts sending requests. */
    void start() {
        eventLoop.execute(this::sendNext);
    }

    /** Stops sending requests; those in flight are still checked. */
    void stop() {
        running = false;
    }

    /** Sets whether new connections may be opened; open connections remain in use either way. */
    void allowNewConnections(boolean allowed) {
        newConnectionsAllowed = allowed;
    }

    /** Opens connections that send no request, and closes them after {@link #IDLE_CONNECTION_LIFETIME_MS}. */
    void openIdleConnections(int count) {
        eventLoop.execute(() -> {
            for (int i = 0; i < count; i++) {
                Connection connection = new Connection();
                connect(
                        connection,
                        () -> eventLoop.schedule(
                                () -> connection.channel.close(), IDLE_CONNECTION_LIFETIME_MS, TimeUnit.MILLISECONDS));
            }
        });
    }

    private void sendNext() {
        if (!running) {
            return;
        }
        double intervalMs = -Math.log(1 - random.nextDouble()) * meanIntervalMs;
        eventLoop.schedule(this::sendNext, (long) (intervalMs * 1000), TimeUnit.MICROSECONDS);
        boolean reuse = random.nextDouble() < REUSE_SHARE;
        Connection reused = reuse ? idleConnections.pollLast() : null;
        int count = random.nextDouble() < PIPELINE_SHARE ? PIPELINE_DEPTH : 1;
        List<Request> batch = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            batch.add(drawRequest());
        }
        if (reused != null) {
            reused.send(batch);
        } else if (newConnectionsAllowed) {
            Connection connection = new Connection();
            connect(connection, () -> connection.send(batch));
        }
    }

    private Request drawRequest() {
        boolean booking = random.nextDouble() < BOOKING_SHARE;
        String id = "g" + gatewayNumber + "-" + ++requestCount;
        return new Request(id, booking, gatewayNumber, booking ? BOOKING_DEADLINE_MS : LOOKUP_DEADLINE_MS);
    }

    private void connect(Connection connection, Runnable onConnected) {
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        connection.channel = ch;
                        ch.pipeline()
                                .addLast(
                                        new ResponseStartRecorder(connection),
                                        new HttpResponseDecoder(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        connection);
                    }
                })
                .connect(address)
                .addListener(future -> {
                    if (future.isSuccess()) {
                        onConnected.run();
                    }
                });
    }

    private static String requestText(Request request) {
        String body = request.booking ? "two seats" : "";
        return (request.booking ? "POST /seat-booking/x" : "GET /seat-lookup/x")
                + " HTTP/1.1\r\nHost: backend.local\r\n"
                + "X-Trace-Id: " + request.id + "\r\nX-Plan: basic\r\nX-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: "
                + request.deadlineMs + "\r\nX-Quota: units=1,spread=1,first=0\r\n"
                + (request.booking ? "Content-Length: " + body.length() + "\r\n" : "") + "\r\n" + body;
    }

    /** Records whether the response to the oldest pending request has started to arrive. */
    private static final class ResponseStartRecorder extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        ResponseStartRecorder(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            connection.responseStarted = true;
            ctx.fireChannelRead(message);
        }
    }

    /** One client connection and the requests that wait for a response on it. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ArrayDeque<Request> pending = new ArrayDeque<>();
        private Channel channel;
        private boolean hasReceivedResponse; // whether it has received a complete response
        private boolean responseStarted; // whether bytes of the next response have arrived
        private boolean closedByClient;
        private boolean batchPartlyAnswered; // some of several pipelined requests have a response

        void send(List<Request> batch) {
            if (!channel.isActive()) {
                return; // closed already, so that nothing is sent and nothing recorded
            }
            responseStarted = false;
            batchPartlyAnswered = false;
            for (Request request : batch) {
                pending.add(request);
                checker.recordSent(request);
                eventLoop.schedule(
                        () -> checkOverdue(request),
                        request.deadlineMs + LOST_AFTER_DEADLINE_MS,
                        TimeUnit.MILLISECONDS);
            }
            if (batch.size() == 1 && random.nextDouble() < SPLIT_WRITE_SHARE) {
                sendInTwoParts(batch.get(0));
            } else {
                channel.writeAndFlush(asciiBuffer(
                        batch.stream().map(LoadGenerator::requestText).collect(Collectors.joining())));
            }
            if (random.nextDouble() < DISCONNECT_SHARE) {
                eventLoop.schedule(this::disconnect, random.nextInt(MAX_DISCONNECT_DELAY_MS), TimeUnit.MILLISECONDS);
            }
        }

        private void sendInTwoParts(Request request) {
            String text = requestText(request);
            int splitIndex = 1 + random.nextInt(text.length() - 2);
            request.fullyWritten = false;
            channel.writeAndFlush(asciiBuffer(text.substring(0, splitIndex)));
            eventLoop.schedule(
                    () -> {
                        request.sentAtMs = RuleChecker.nowMs();
                        request.fullyWritten = true;
                        channel.writeAndFlush(asciiBuffer(text.substring(splitIndex)));
                    },
                    random.nextInt(MAX_SPLIT_DELAY_MS),
                    TimeUnit.MILLISECONDS);
        }

        private void disconnect() {
            if (pending.isEmpty()) {
                return;
            }
            closedByClient = true;
            channel.close();
            pending.forEach(request -> {
                request.clientClosedAtMs = RuleChecker.nowMs();
                checker.recordEnd(request, End.LEFT);
            });
            pending.clear();
        }

        private void checkOverdue(Request request) {
            if (request.end != null || !pending.contains(request)) {
                return;
            }
            double lagMs = checker.currentLagMs();
            if (lagMs > NEGLIGIBLE_LAG_MS && !request.lagAllowanceUsed) {
                request.lagAllowanceUsed = true;
                eventLoop.schedule(() -> checkOverdue(request), (long) lagMs, TimeUnit.MILLISECONDS);
            } else {
                checker.recordLost(
                        request, "no complete response " + LOST_AFTER_DEADLINE_MS + " ms after its deadline");
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.decoderResult().cause() instanceof PrematureChannelClosureException) {
                responseStarted = true; // channelInactive follows
                return;
            }
            Request request = pending.poll();
            if (request == null || response.decoderResult().isFailure()) {
                checker.recordViolation(
                        RuleChecker.Rule.WRONG_ANSWER, "unsolicited or unparseable response: " + response);
                ctx.close();
                return;
            }
            hasReceivedResponse = true;
            responseStarted = false;
            batchPartlyAnswered = !pending.isEmpty();
            int status = response.status().code();
            if (status == OK) {
                checker.recordServed(request, response.content().toString(StandardCharsets.US_ASCII));
            } else {
                checker.recordEnd(
                        request,
                        status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE ? End.REFUSED : End.FAILED);
            }
            if (!HttpUtil.isKeepAlive(response) || pending.isEmpty() && idleConnections.size() >= maxIdleConnections) {
                ctx.close();
            } else if (pending.isEmpty()) {
                idleConnections.addLast(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            if (closedByClient) {
                return;
            }
            for (Request request = pending.poll(); request != null; request = pending.poll()) {
                handleGatewayClose(request);
                responseStarted = false;
            }
        }

        /** Handles a request that was pending when the gateway closed the connection. */
        private void handleGatewayClose(Request request) {
            if (request.end != null) {
                return;
            }
            if (checker.isExcused(request)) {
                checker.recordEnd(request, End.KILLED);
            } else if (!request.fullyWritten) {
                checker.recordEnd(request, End.NEVER_TAKEN); // closed before the request was fully written
            } else if (responseStarted && request.responseTruncated) {
                checker.recordEnd(request, End.CUT_SHORT);
            } else if (hasReceivedResponse && !responseStarted && !batchPartlyAnswered && !request.resent) {
                request.resent = true;
                resend(request);
            } else {
                checker.recordLost(
                        request,
                        "closed with " + (responseStarted ? "a part" : "no byte") + " of a response, on a "
                                + (batchPartlyAnswered ? "pipelined" : hasReceivedResponse ? "used" : "new")
                                + " connection");
            }
        }

        /**
         * Resends a request that was sent while the gateway was closing the idle connection. No rule is broken if the
         * new connection can't be opened.
         */
        private void resend(Request request) {
            Connection connection = new Connection();
            connect(connection, () -> connection.send(List.of(request)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static ByteBuf asciiBuffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }
}
