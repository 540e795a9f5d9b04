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
 * The clients of one gateway, on one event loop: requests at random times, on connections that are kept or new; some
 * leave early, some write slowly, some send several requests at once, and a crowd may hold idle connections.
 */
final class ClientLoad {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int MOST_ANSWER = 1 << 20;
    private static final double KEPT_SHARE = 0.5; // of the requests go out on a connection that was used before
    private static final double LEAVE_SHARE = 0.08;
    private static final int LEAVE_WITHIN_MS = 20;
    private static final double SLOW_SHARE = 0.03;
    private static final double PIPELINE_SHARE = 0.01;
    private static final int PIPELINED = 4;
    private static final double BOOKING_SHARE = 0.25;
    private static final long LOOKUP_DEADLINE_MS = 400;
    private static final long BOOKING_DEADLINE_MS = 600;
    private static final long LOST_AFTER_MS = 500; // beyond the deadline an answer no longer counts
    private static final double SMALL_LAG_MS = 20;
    private static final int CONNECT_MS = 1000;
    private static final long CROWD_STAYS_MS = 1500;

    private final EventLoop loop;
    private final RuleChecker checker;
    private final int gateway;
    private final InetSocketAddress address;
    private final Random random;
    private final double meanGapMs;
    private final int mostKept;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private volatile boolean open = true; // whether the front sends new connections here
    private volatile boolean running = true;
    private int number;

    ClientLoad(
            EventLoop loop,
            RuleChecker checker,
            int gateway,
            InetSocketAddress address,
            long seed,
            double perSecond,
            int mostKept) {
        this.loop = loop;
        this.checker = checker;
        this.gateway = gateway;
        this.address = address;
        this.random = new Random(seed);
        this.meanGapMs = 1000 / perSecond;
        this.mostKept = mostKept;
    }

    /** The longest deadline that a request of these clients has. */
    static long longestDeadlineMs() {
        return Math.max(LOOKUP_DEADLINE_MS, BOOKING_DEADLINE_MS);
    }

    /** How long after the last request its end is known. */
    static long settleMs() {
        return longestDeadlineMs() + LOST_AFTER_MS + CONNECT_MS;
    }

    void start() {
        loop.execute(this::next);
    }

    /** No further requests; what is out is still judged. */
    void stop() {
        running = false;
    }

    /** Whether new connections may be opened; those that are open are used in any case. */
    void front(boolean sends) {
        open = sends;
    }

    /** Opens connections that ask for nothing, and closes them after a while. */
    void crowd(int count) {
        loop.execute(() -> {
            for (int i = 0; i < count; i++) {
                Connection c = new Connection();
                connect(c, () -> loop.schedule(() -> c.channel.close(), CROWD_STAYS_MS, TimeUnit.MILLISECONDS));
            }
        });
    }

    private void next() {
        if (!running) {
            return;
        }
        double gapMs = -Math.log(1 - random.nextDouble()) * meanGapMs;
        loop.schedule(this::next, (long) (gapMs * 1000), TimeUnit.MICROSECONDS);
        boolean kept = random.nextDouble() < KEPT_SHARE;
        Connection used = kept ? idle.pollLast() : null;
        int count = random.nextDouble() < PIPELINE_SHARE ? PIPELINED : 1;
        List<Request> batch = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            batch.add(draw());
        }
        if (used != null) {
            used.send(batch);
        } else if (open) {
            Connection fresh = new Connection();
            connect(fresh, () -> fresh.send(batch));
        }
    }

    private Request draw() {
        boolean booking = random.nextDouble() < BOOKING_SHARE;
        String id = "g" + gateway + "-" + ++number;
        return new Request(id, booking, gateway, booking ? BOOKING_DEADLINE_MS : LOOKUP_DEADLINE_MS);
    }

    private void connect(Connection c, Runnable then) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        c.channel = ch;
                        ch.pipeline()
                                .addLast(
                                        new FirstBytes(c),
                                        new HttpResponseDecoder(),
                                        new HttpObjectAggregator(MOST_ANSWER),
                                        c);
                    }
                })
                .connect(address)
                .addListener(f -> {
                    if (f.isSuccess()) {
                        then.run();
                    }
                });
    }

    private static String message(Request r) {
        String body = r.booking ? "two seats" : "";
        return (r.booking ? "POST /seat-booking/x" : "GET /seat-lookup/x") + " HTTP/1.1\r\nHost: backend.local\r\n"
                + "X-Trace-Id: " + r.id + "\r\nX-Plan: basic\r\nX-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: "
                + r.deadlineMs + "\r\nX-Quota: units=1,spread=1,first=0\r\n"
                + (r.booking ? "Content-Length: " + body.length() + "\r\n" : "") + "\r\n" + body;
    }

    /** Notes whether anything of the answer to the oldest request has come. */
    private static final class FirstBytes extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        FirstBytes(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            connection.begun = true;
            ctx.fireChannelRead(message);
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ArrayDeque<Request> waiting = new ArrayDeque<>();
        private Channel channel;
        private boolean used; // an answer has come on it
        private boolean begun; // some of the next answer has come
        private boolean left; // by the client itself
        private boolean partly; // some requests that were sent at once have been answered

        void send(List<Request> batch) {
            if (!channel.isActive()) {
                return; // its end is being told: nothing was sent
            }
            begun = false;
            partly = false;
            for (Request r : batch) {
                waiting.add(r);
                checker.recordSent(r);
                loop.schedule(() -> overdue(r), r.deadlineMs + LOST_AFTER_MS, TimeUnit.MILLISECONDS);
            }
            if (batch.size() == 1 && random.nextDouble() < SLOW_SHARE) {
                sendSlowly(batch.get(0));
            } else {
                channel.writeAndFlush(
                        text(batch.stream().map(ClientLoad::message).collect(Collectors.joining())));
            }
            if (random.nextDouble() < LEAVE_SHARE) {
                loop.schedule(this::leave, random.nextInt(LEAVE_WITHIN_MS), TimeUnit.MILLISECONDS);
            }
        }

        private void sendSlowly(Request r) {
            String message = message(r);
            int cut = 1 + random.nextInt(message.length() - 2);
            r.fullyWritten = false;
            channel.writeAndFlush(text(message.substring(0, cut)));
            loop.schedule(
                    () -> {
                        r.sentAtMs = RuleChecker.nowMs();
                        r.fullyWritten = true;
                        channel.writeAndFlush(text(message.substring(cut)));
                    },
                    random.nextInt(60),
                    TimeUnit.MILLISECONDS);
        }

        private void leave() {
            if (waiting.isEmpty()) {
                return;
            }
            left = true;
            channel.close();
            waiting.forEach(r -> {
                r.clientClosedAtMs = RuleChecker.nowMs();
                checker.recordEnd(r, End.LEFT);
            });
            waiting.clear();
        }

        private void overdue(Request r) {
            if (r.end != null || !waiting.contains(r)) {
                return;
            }
            double lagMs = checker.currentLagMs();
            if (lagMs > SMALL_LAG_MS && !r.lagAllowanceUsed) {
                r.lagAllowanceUsed = true;
                loop.schedule(() -> overdue(r), (long) lagMs, TimeUnit.MILLISECONDS);
            } else {
                checker.recordLost(r, "no whole answer " + LOST_AFTER_MS + " ms after its deadline");
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.decoderResult().cause() instanceof PrematureChannelClosureException) {
                begun = true; // the end of the connection follows
                return;
            }
            Request r = waiting.poll();
            if (r == null || response.decoderResult().isFailure()) {
                checker.recordViolation(
                        RuleChecker.Rule.WRONG_ANSWER, "an answer that nobody asked for, or unreadable: " + response);
                ctx.close();
                return;
            }
            used = true;
            begun = false;
            partly = !waiting.isEmpty();
            int status = response.status().code();
            if (status == OK) {
                checker.recordServed(r, response.content().toString(StandardCharsets.US_ASCII));
            } else {
                checker.recordEnd(r, status == TOO_MANY_REQUESTS || status == UNAVAILABLE ? End.REFUSED : End.FAILED);
            }
            if (!HttpUtil.isKeepAlive(response) || waiting.isEmpty() && idle.size() >= mostKept) {
                ctx.close();
            } else if (waiting.isEmpty()) {
                idle.addLast(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            if (left) {
                return;
            }
            for (Request r = waiting.poll(); r != null; r = waiting.poll()) {
                closed(r);
                begun = false;
            }
        }

        /** The gateway ended the connection with this request on it. */
        private void closed(Request r) {
            if (r.end != null) {
                return;
            }
            if (checker.isExcused(r)) {
                checker.recordEnd(r, End.KILLED);
            } else if (!r.fullyWritten) {
                checker.recordEnd(r, End.NEVER_TAKEN); // its last byte had not been written
            } else if (begun && r.responseTruncated) {
                checker.recordEnd(r, End.CUT_SHORT);
            } else if (used && !begun && !partly && !r.resent) {
                r.resent = true;
                resend(r);
            } else {
                checker.recordLost(
                        r,
                        "closed with " + (begun ? "a part" : "no byte") + " of an answer, on a "
                                + (partly ? "pipelined" : used ? "used" : "new") + " connection");
            }
        }

        /** The close crossed the request: it is sent once more, and is nobody's where no connection comes up. */
        private void resend(Request r) {
            Connection fresh = new Connection();
            connect(fresh, () -> fresh.send(List.of(r)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }
}
