package deckfall.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Serves the operator's address: one command line per connection, one response. It has an event loop of its own, so
 * that a busy data path can't delay it, and it never waits: what a command starts goes on after its response.
 */
final class OperatorServer {
    private static final int MAX_LINE_BYTES = 256;
    private static final int MAX_CONNECTIONS = 16; // beyond this the oldest connection is closed
    private static final long LINE_TIMEOUT_MS = 10_000; // for a caller to send its complete line
    private static final int BACKLOG = 64;
    private static final Pattern BLANKS_AT_ENDS = Pattern.compile("^[ \t]+|[ \t]+$");
    private static final String ACK = "ACK";
    private static final String NAK_PREFIX = "NAK ";
    private static final String END_OF_METRICS = "--";

    /** The commands that an operator can give to a gateway. They may be called from any thread. */
    interface Commands {
        /** Returns null if the gateway is ready for clients, otherwise the reason why it is not. */
        String notReadyReason();

        String metrics();

        void quiesce();

        void resume();
    }

    private final InetSocketAddress address;
    private final Commands commands;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final LinkedHashSet<Channel> connections = new LinkedHashSet<>(); // oldest first
    private Channel listener;

    OperatorServer(InetSocketAddress address, Commands commands) {
        this.address = address;
        this.commands = commands;
    }

    void start() throws IOException {
        try {
            listener = new ServerBootstrap()
                    .group(group)
                    .channelFactory(RetryingServerSocketChannel::new)
                    .handler(new AcceptRetry(() -> {}))
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                                            new ConnectionHandler());
                        }
                    })
                    .bind(address)
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // Netty rethrows the failure as it is, checked or not
            throw new IOException("can't bind the operator's address: " + e.getMessage(), e);
        }
    }

    /** The port of the listener, which the system has chosen if the configuration has port 0. */
    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private String execute(String command) {
        switch (command) {
            case "health":
                String reason = commands.notReadyReason();
                return reason == null ? ACK : NAK_PREFIX + reason;
            case "counters":
                return commands.metrics() + END_OF_METRICS;
            case "quiesce":
                commands.quiesce();
                return ACK;
            case "resume":
                commands.resume();
                return ACK;
            default:
                return NAK_PREFIX + "unknown call; known are health, counters, quiesce and resume";
        }
    }

    /** Removes spaces and tabs at both ends, and no other characters. */
    private static String withoutBlanks(String line) {
        return BLANKS_AT_ENDS.matcher(line).replaceAll("");
    }

    /** Reads the command of one connection and responds to it. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private Future<?> lineTimeout;
        private boolean responded;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= MAX_CONNECTIONS) {
                Channel oldest = connections.iterator().next();
                connections.remove(oldest);
                oldest.close();
            }
            connections.add(ctx.channel());
            lineTimeout = ctx.executor()
                    .schedule(
                            () -> {
                                respondAndClose(ctx, NAK_PREFIX + "no whole line in time");
                                ctx.close(); // even if the caller does not read the response
                            },
                            LINE_TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            respondAndClose(ctx, execute(withoutBlanks(line.toString(StandardCharsets.US_ASCII))));
        }

        private void respondAndClose(ChannelHandlerContext ctx, String response) {
            if (responded) {
                return; // one line per connection: anything behind it is ignored
            }
            responded = true;
            ctx.writeAndFlush(Unpooled.copiedBuffer(response + '\n', StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lineTimeout.cancel(false);
            connections.remove(ctx.channel());
        }

        /** Handles a line that is too long, or a broken connection. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            respondAndClose(ctx, NAK_PREFIX + "no line of at most " + MAX_LINE_BYTES + " bytes");
        }
    }
}
