package deckfall.net;

import deckfall.Gateway.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** Client of the shared counter. Calls are pipelined on one connection and answered in order. */
final class CounterClient {
    private static final int MAX_PENDING_CALLS = 256; // further calls fail at once while the counter does not reply
    private static final long RECONNECT_DELAY_MS = 200;
    private static final double MAX_CALL_AGE_MS = 5000; // age of the oldest call at which the connection is closed
    private static final int MAX_LINE_BYTES = 512;
    private static final int NO_TOTAL = -1; // the next line is the start of a reply
    private static final String COMMAND_PREFIX = "*4\r\n$6\r\nADDGET\r\n";

    private final Node node;
    private final ArrayDeque<Call> pendingCalls = new ArrayDeque<>();
    private InetSocketAddress address;
    private Channel channel;

    /** A call whose end is reported once, at its timeout at the latest. Its reply may still arrive after that. */
    private final class Call {
        final String counter;
        final double sentAtMs = node.clock.now();
        boolean completed;

        Call(String counter) {
            this.counter = counter;
        }

        void complete(Outcome outcome, double total) {
            if (!completed) {
                completed = true;
                node.counterCallEnded(counter, outcome, total);
            }
        }
    }

    CounterClient(Node node) {
        this.node = node;
        this.address = node.config.counter();
    }

    void start() {
        if (address != null) {
            connect();
        }
    }

    private void connect() {
        new Bootstrap()
                .group(node.loop)
                .channelFactory(RetryingSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, node.config.connectTimeoutMs()))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES), new ReplyHandler());
                    }
                })
                .connect(address)
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        scheduleReconnect();
                    }
                });
    }

    private void scheduleReconnect() {
        node.loop.schedule(this::connect, RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Switches to another address. */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress == null || newAddress.equals(address)) {
            return;
        }
        boolean first = address == null;
        address = newAddress;
        if (first) {
            connect();
        } else if (channel != null) {
            channel.close(); // the reconnect goes to the new address
        }
    }

    /** Adds an amount to a counter. The result is reported by {@link Node#counterCallEnded}. */
    void add(String counter, double amount, double lifetimeMs) {
        Call call = new Call(counter);
        if (!pendingCalls.isEmpty()
                && call.sentAtMs - pendingCalls.peek().sentAtMs > MAX_CALL_AGE_MS
                && channel != null) {
            channel.close();
        }
        if (channel == null || !channel.isActive() || pendingCalls.size() >= MAX_PENDING_CALLS) {
            call.complete(Outcome.CONNECT_FAILED, 0);
            return;
        }
        pendingCalls.add(call);
        String command = COMMAND_PREFIX
                + bulkString(counter)
                + bulkString(Double.toString(amount))
                + bulkString(Long.toString((long) lifetimeMs));
        channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), command), channel.voidPromise());
        node.loop.schedule(
                () -> call.complete(Outcome.TIMEOUT, 0), (long) node.config.counterTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    private static String bulkString(String text) {
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    /** Handles replies of the Redis protocol: a line with an error, or a line with the length of the total behind it. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private int totalLength = NO_TOTAL; // of the total that follows

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (!address.equals(channel.remoteAddress())) {
                channel.close(); // the address changed during the connect
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (!ctx.channel().isActive()) {
                return; // data after a reply that could not be parsed
            }
            String text = line.toString(StandardCharsets.US_ASCII);
            if (totalLength == NO_TOTAL && text.startsWith("$")) {
                totalLength = NumberGrammar.wholeNumber(text.substring(1));
                return;
            }
            Call call = pendingCalls.peek(); // if its reply has no number, the call ends with the connection
            int length = totalLength;
            totalLength = NO_TOTAL;
            if (call == null) {
                ctx.close(); // more replies than calls, so replies cannot be matched to calls
            } else if (length == text.length()) {
                call.complete(Outcome.OK, NumberGrammar.signedDecimal(text.strip()));
            } else if (length == NO_TOTAL && text.startsWith("-")) {
                call.complete(Outcome.FULL, 0);
            } else {
                throw new NumberFormatException(text);
            }
            pendingCalls.poll();
        }

        /** Ends all pending calls as {@code RESET}: the counter may have added what was sent. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channel = null;
            for (Call call = pendingCalls.poll(); call != null; call = pendingCalls.poll()) {
                call.complete(Outcome.RESET, 0);
            }
            scheduleReconnect();
        }

        /**
         * Closes the connection after a reply without a number: the amount was added, and later replies cannot be
         * matched to their calls.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
