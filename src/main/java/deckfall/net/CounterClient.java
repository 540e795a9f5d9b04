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
import java.util.regex.Pattern;

/** Calls the shared counter: calls one behind another on one connection, whose answers come in the same order. */
final class CounterClient {
    private static final int MAX_PENDING_CALLS = 256; // a counter that is silent gets no more
    private static final long RECONNECT_DELAY_MS = 200;
    private static final double MAX_CALL_AGE_MS = 5000; // the oldest call's age at which the connection is given up
    private static final int MAX_LINE_BYTES = 512;
    private static final Pattern NUMBER_PATTERN =
            Pattern.compile("\\s*[-+]?(\\d+(\\.\\d*)?|\\.\\d+)([eE][-+]?\\d+)?\\s*");
    private static final String COMMAND_PREFIX = "*4\r\n$6\r\nADDGET\r\n";

    private final Node node;
    private final ArrayDeque<Call> pendingCalls = new ArrayDeque<>();
    private InetSocketAddress address;
    private Channel channel;

    /** Told of its end once, at the latest when its time is up; its answer may come later still. */
    private final class Call {
        final String counter;
        final double sentAt = node.clock.now();
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

    /** Calls at another address from now on. */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress == null || newAddress.equals(address)) {
            return;
        }
        boolean first = address == null;
        address = newAddress;
        if (first) {
            connect();
        } else if (channel != null) {
            channel.close(); // its end leads to the new address
        }
    }

    void add(String counter, double amount, double lifetimeMs) {
        Call call = new Call(counter);
        if (!pendingCalls.isEmpty() && call.sentAt - pendingCalls.peek().sentAt > MAX_CALL_AGE_MS && channel != null) {
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

    /** Java also reads words and letters as numbers; a total of no size would spoil all that is reckoned from it. */
    private static double parseNumber(String text) {
        double number = NUMBER_PATTERN.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
        if (!Double.isFinite(number)) {
            throw new NumberFormatException(text);
        }
        return number;
    }

    /** Replies of the Redis protocol: an error's line, or a length's line and the total's. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean totalFollows;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (!address.equals(channel.remoteAddress())) {
                channel.close(); // moved while it came up
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (!ctx.channel().isActive()) {
                return; // behind an answer that could not be read
            }
            String text = line.toString(StandardCharsets.US_ASCII);
            if (!totalFollows && text.startsWith("$") && !text.startsWith("$-")) {
                totalFollows = true;
                return;
            }
            Call call = pendingCalls.peek(); // ends with the connection where its answer holds no number
            boolean total = totalFollows;
            totalFollows = false;
            if (call == null) {
                ctx.close(); // more answers than calls: none can be told from another
            } else if (total) {
                call.complete(Outcome.OK, parseNumber(text));
            } else if (text.startsWith("-")) {
                call.complete(Outcome.FULL, 0);
            } else {
                throw new NumberFormatException(text);
            }
            pendingCalls.poll();
        }

        /** What had been written may have been added. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channel = null;
            for (Call call = pendingCalls.poll(); call != null; call = pendingCalls.poll()) {
                call.complete(Outcome.RESET, 0);
            }
            scheduleReconnect();
        }

        /** No number where one is due: the amount was added, and what follows can't be told apart. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
