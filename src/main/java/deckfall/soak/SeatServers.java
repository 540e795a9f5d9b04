package deckfall.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-ins for seat servers, of which each may answer a request in any of the ways that the protocol allows. */
final class SeatServers {
    private static final int MOST_BODY = 1 << 20;
    private static final int LEAST_SERVICE_MS = 5;
    private static final int MOST_SERVICE_MS = 50;
    private static final int LONG_ANSWER = 100 * 1024; // passed on as it comes
    private static final double LONG_SHARE = 0.01;

    /** How a request is answered. */
    private enum Way {
        WHOLE,
        ERROR,
        RESET,
        BROKEN_OFF,
        SILENT,
        TURNED_AWAY,
        TWICE,
        NO_LENGTH,
        NO_LENGTH_RESET
    }

    private final RuleChecker checker;
    private final double troubleShare;
    private final AtomicLong made = new AtomicLong();
    private final List<Channel> listeners = new ArrayList<>();
    private final double[] hangsUntil;

    /** Servers at ports of the system's choice on loopback. */
    SeatServers(EventLoopGroup group, RuleChecker checker, int count, double troubleShare) {
        this.checker = checker;
        this.troubleShare = troubleShare;
        hangsUntil = new double[count];
        for (int i = 0; i < count; i++) {
            int number = i;
            listeners.add(new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new HttpRequestDecoder(),
                                            new Arrivals(number),
                                            new HttpObjectAggregator(MOST_BODY),
                                            new Answers(number));
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .syncUninterruptibly()
                    .channel());
        }
    }

    String address(int server) {
        return "127.0.0.1:" + ((InetSocketAddress) listeners.get(server).localAddress()).getPort();
    }

    int count() {
        return listeners.size();
    }

    /** For so long the server takes requests and answers none. */
    void hang(int server, double ms) {
        hangsUntil[server] = RuleChecker.nowMs() + ms;
    }

    private Way way(int server) {
        if (RuleChecker.nowMs() < hangsUntil[server]) {
            return Way.SILENT;
        }
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Way[] ways = Way.values();
        return random.nextDouble() < troubleShare ? ways[1 + random.nextInt(ways.length - 1)] : Way.WHOLE;
    }

    /** Notes the moment in which an attempt begins to arrive. */
    private final class Arrivals extends ChannelInboundHandlerAdapter {
        private final int server;

        Arrivals(int server) {
            this.server = server;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpRequest head) {
                RuleChecker.Request r = checker.findRequest(head.headers().get("X-Trace-Id"));
                if (r != null) {
                    checker.recordAttempt(r, "server " + server, told(head));
                }
            }
            ctx.fireChannelRead(message);
        }

        private static double told(HttpRequest head) {
            String text = head.headers().get("X-Expires-In-Ms");
            return text == null ? 0 : Double.parseDouble(text);
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int server;

        Answers(int server) {
            this.server = server;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            RuleChecker.Request r = checker.findRequest(request.headers().get("X-Trace-Id"));
            Way way = way(server);
            if (r == null) {
                ctx.writeAndFlush(text("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            if (way == Way.TURNED_AWAY) {
                ctx.writeAndFlush(text("HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            checker.recordExecution(r);
            int ms = ThreadLocalRandom.current().nextInt(LEAST_SERVICE_MS, MOST_SERVICE_MS);
            ctx.executor().schedule(() -> answer(ctx, r, way), ms, TimeUnit.MILLISECONDS);
        }

        private void answer(ChannelHandlerContext ctx, RuleChecker.Request r, Way way) {
            String body = body(r);
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
            switch (way) {
                case ERROR -> ctx.writeAndFlush(text("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"));
                case RESET -> reset(ctx);
                case BROKEN_OFF -> {
                    r.responseTruncated = true;
                    ctx.writeAndFlush(text(head + body.substring(0, body.length() / 2)))
                            .addListener(f -> reset(ctx));
                }
                case TWICE -> {
                    checker.recordCompleteBody(body);
                    ctx.writeAndFlush(text(head + body + head + body));
                }
                case NO_LENGTH -> {
                    checker.recordCompleteBody(body);
                    ctx.writeAndFlush(text("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body))
                            .addListener(ChannelFutureListener.CLOSE);
                }
                case NO_LENGTH_RESET -> {
                    r.responseTruncated = true;
                    ctx.writeAndFlush(text("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                                    + body.substring(0, body.length() / 2)))
                            .addListener(f -> reset(ctx));
                }
                case WHOLE -> {
                    checker.recordCompleteBody(body);
                    ctx.writeAndFlush(text(head + body));
                }
                default -> {} // silent
            }
        }

        private void reset(ChannelHandlerContext ctx) {
            if (ctx.channel().isActive()) {
                ((SocketChannel) ctx.channel()).config().setSoLinger(0);
            }
            ctx.close();
        }

        private String body(RuleChecker.Request r) {
            String start = r.id + " server " + server + " answer " + made.incrementAndGet() + ' ';
            boolean isLong = ThreadLocalRandom.current().nextDouble() < LONG_SHARE;
            return isLong ? start + "x".repeat(LONG_ANSWER) : start + "seats";
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
