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

/** Simulates seat servers, each of which may respond to a request in any way that the protocol allows. */
final class SimulatedServers {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MIN_SERVICE_MS = 5;
    private static final int MAX_SERVICE_MS = 50;
    private static final int LONG_BODY_BYTES = 100 * 1024; // long enough for the gateway to stream it
    private static final double LONG_BODY_SHARE = 0.01;

    /** How a server responds to a request. */
    private enum ResponseMode {
        COMPLETE,
        ERROR,
        RESET,
        TRUNCATED,
        NO_RESPONSE,
        /** With the header that says that the request was not executed. */
        REJECTED,
        /** The same response is sent twice. */
        DUPLICATED,
        /** Without a length; the close of the connection ends the body. */
        CLOSE_DELIMITED,
        CLOSE_DELIMITED_RESET
    }

    private final RuleChecker checker;
    private final double faultShare;
    private final AtomicLong responseCount = new AtomicLong();
    private final List<Channel> listeners = new ArrayList<>();
    private final double[] hangsUntilMs;

    /** Starts servers on loopback, at ports that the operating system chooses. */
    SimulatedServers(EventLoopGroup group, RuleChecker checker, int count, double faultShare) {
        this.checker = checker;
        this.faultShare = faultShare;
        hangsUntilMs = new double[count];
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
                                            new AttemptRecorder(number),
                                            new HttpObjectAggregator(MAX_BODY_BYTES),
                                            new ResponseHandler(number));
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .syncUninterruptibly()
                    .channel());
        }
    }

    /** The address of a server, by its index. */
    String address(int server) {
        return "127.0.0.1:" + ((InetSocketAddress) listeners.get(server).localAddress()).getPort();
    }

    /** The number of servers. */
    int count() {
        return listeners.size();
    }

    /** Makes a server accept requests without responding, for some time. */
    void hang(int server, double durationMs) {
        hangsUntilMs[server] = RuleChecker.nowMs() + durationMs;
    }

    private ResponseMode drawMode(int server) {
        if (RuleChecker.nowMs() < hangsUntilMs[server]) {
            return ResponseMode.NO_RESPONSE;
        }
        ThreadLocalRandom random = ThreadLocalRandom.current();
        ResponseMode[] modes = ResponseMode.values();
        return random.nextDouble() < faultShare ? modes[1 + random.nextInt(modes.length - 1)] : ResponseMode.COMPLETE;
    }

    /** Records when the head of an attempt arrives. */
    private final class AttemptRecorder extends ChannelInboundHandlerAdapter {
        private final int server;

        AttemptRecorder(int server) {
            this.server = server;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpRequest head) {
                RuleChecker.Request request = checker.findRequest(head.headers().get("X-Trace-Id"));
                if (request != null) {
                    checker.recordAttempt(request, "server " + server, expiresInMs(head));
                }
            }
            ctx.fireChannelRead(message);
        }

        private static double expiresInMs(HttpRequest head) {
            String text = head.headers().get("X-Expires-In-Ms");
            return text == null ? 0 : Double.parseDouble(text);
        }
    }

    /** Responds to complete requests. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int server;

        ResponseHandler(int server) {
            this.server = server;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest httpRequest) {
            RuleChecker.Request request =
                    checker.findRequest(httpRequest.headers().get("X-Trace-Id"));
            ResponseMode mode = drawMode(server);
            if (request == null) {
                ctx.writeAndFlush(asciiBuffer("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            if (mode == ResponseMode.REJECTED) {
                ctx.writeAndFlush(asciiBuffer("HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            checker.recordExecution(request);
            int serviceMs = ThreadLocalRandom.current().nextInt(MIN_SERVICE_MS, MAX_SERVICE_MS);
            ctx.executor().schedule(() -> respond(ctx, request, mode), serviceMs, TimeUnit.MILLISECONDS);
        }

        private void respond(ChannelHandlerContext ctx, RuleChecker.Request request, ResponseMode mode) {
            String body = createBody(request);
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
            switch (mode) {
                case ERROR -> ctx.writeAndFlush(asciiBuffer("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"));
                case RESET -> reset(ctx);
                case TRUNCATED -> {
                    request.responseTruncated = true;
                    ctx.writeAndFlush(asciiBuffer(head + body.substring(0, body.length() / 2)))
                            .addListener(future -> reset(ctx));
                }
                case DUPLICATED -> {
                    checker.recordCompleteBody(body);
                    ctx.writeAndFlush(asciiBuffer(head + body + head + body));
                }
                case CLOSE_DELIMITED -> {
                    checker.recordCompleteBody(body);
                    ctx.writeAndFlush(asciiBuffer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body))
                            .addListener(ChannelFutureListener.CLOSE);
                }
                case CLOSE_DELIMITED_RESET -> {
                    request.responseTruncated = true;
                    ctx.writeAndFlush(asciiBuffer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                                    + body.substring(0, body.length() / 2)))
                            .addListener(future -> reset(ctx));
                }
                case COMPLETE -> {
                    checker.recordCompleteBody(body);
                    ctx.writeAndFlush(asciiBuffer(head + body));
                }
                default -> {} // NO_RESPONSE; REJECTED was sent without a delay
            }
        }

        private void reset(ChannelHandlerContext ctx) {
            if (ctx.channel().isActive()) {
                ((SocketChannel) ctx.channel()).config().setSoLinger(0);
            }
            ctx.close();
        }

        private String createBody(RuleChecker.Request request) {
            String start = request.id + " server " + server + " answer " + responseCount.incrementAndGet() + ' ';
            boolean isLong = ThreadLocalRandom.current().nextDouble() < LONG_BODY_SHARE;
            return isLong ? start + "x".repeat(LONG_BODY_BYTES) : start + "seats";
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
