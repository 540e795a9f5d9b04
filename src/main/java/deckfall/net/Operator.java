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

/**
 * The operator's address: one line a connection, one answer. It has an event loop of its own, so that a busy data
 * path can't delay it, and it waits for nothing: what a call sets going goes on after its answer.
 */
final class Operator {
    private static final int MAX_LINE = 256;
    private static final int MAX_CALLERS = 16; // beyond this the one that has waited longest gives way
    private static final long PATIENCE_MS = 10_000; // for a caller to complete its line
    private static final int BACKLOG = 64;
    private static final String YES = "ACK";
    private static final String NO = "NAK ";
    private static final String END_OF_FIGURES = "--";

    /** What a caller can ask of a gateway, from any thread. */
    interface Gateway {
        /** Null once clients are taken, else why they are not. */
        String closedBecause();

        String figures();

        void quiesce();

        void resume();
    }

    private final InetSocketAddress address;
    private final Gateway gateway;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final LinkedHashSet<Channel> callers = new LinkedHashSet<>(); // longest waiting first
    private Channel listener;

    Operator(InetSocketAddress address, Gateway gateway) {
        this.address = address;
        this.gateway = gateway;
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
                            ch.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE, true, true), new Caller());
                        }
                    })
                    .bind(address)
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // netty throws what failed as it is, checked or not
            throw new IOException("no operator address: " + e.getMessage(), e);
        }
    }

    /** The port of the listener, where the configuration left it to the system. */
    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private String answer(String call) {
        switch (call) {
            case "health":
                String why = gateway.closedBecause();
                return why == null ? YES : NO + why;
            case "counters":
                return gateway.figures() + END_OF_FIGURES;
            case "quiesce":
                gateway.quiesce();
                return YES;
            case "resume":
                gateway.resume();
                return YES;
            default:
                return NO + "unknown call; known are health, counters, quiesce and resume";
        }
    }

    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private Future<?> patience;
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (callers.size() >= MAX_CALLERS) {
                Channel longest = callers.iterator().next();
                callers.remove(longest);
                longest.close();
            }
            callers.add(ctx.channel());
            patience = ctx.executor()
                    .schedule(
                            () -> {
                                end(ctx, NO + "no whole line in time");
                                ctx.close(); // also where the answer is not being read
                            },
                            PATIENCE_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            end(ctx, answer(line.toString(StandardCharsets.US_ASCII).trim()));
        }

        private void end(ChannelHandlerContext ctx, String answer) {
            if (answered) {
                return; // one line a connection: what follows it is not read
            }
            answered = true;
            ctx.writeAndFlush(Unpooled.copiedBuffer(answer + '\n', StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            patience.cancel(false);
            callers.remove(ctx.channel());
        }

        /** A line beyond the bound, or a connection that broke. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(ctx, NO + "no line of at most " + MAX_LINE + " bytes");
        }
    }
}
