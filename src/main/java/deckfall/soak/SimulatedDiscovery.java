package deckfall.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Simulates discovery at two addresses, between which a configuration may move a gateway. It serves full lists and
 * long polls for changes, and may stop responding for some time. All state is confined to one event loop.
 */
final class SimulatedDiscovery {
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int ADDRESSES = 2;
    private static final long POLL_INTERVAL_MS = 20;

    /** A seat server as it appears in the list. */
    private record Entry(String id, String address, String state, long startedMs) {
        String json() {
            return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,"
                    + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
        }
    }

    private final EventLoop eventLoop;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Entry> changes = new ArrayList<>(); // the index is the version before the change
    private final List<Channel> listeners = new ArrayList<>();
    private double unresponsiveUntilMs;

    SimulatedDiscovery(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
        for (int i = 0; i < ADDRESSES; i++) {
            listeners.add(new ServerBootstrap()
                    .group(eventLoop)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new HttpServerCodec(),
                                            new HttpObjectAggregator(MAX_BODY_BYTES),
                                            new RequestHandler());
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .syncUninterruptibly()
                    .channel());
        }
    }

    /** One of the two addresses, by index 0 or 1. */
    String address(int index) {
        return "127.0.0.1:" + ((InetSocketAddress) listeners.get(index).localAddress()).getPort();
    }

    /**
     * Publishes a server's state, {@code ready}, {@code draining} or {@code gone}. A {@code startedMs} of 0 means that
     * the server started long ago.
     */
    void publish(String id, String address, String state, long startedMs) {
        eventLoop
                .submit(() -> {
                    Entry entry = new Entry(id, address, state, startedMs);
                    entries.put(id, entry);
                    if (state.equals("gone")) {
                        entries.remove(id);
                    }
                    changes.add(entry);
                })
                .syncUninterruptibly();
    }

    /** The full list, in the JSON format that a configuration contains. */
    String fullList() {
        return eventLoop
                .submit(() -> listJson(true, new ArrayList<>(entries.values())))
                .syncUninterruptibly()
                .getNow();
    }

    /** Delays all responses until the duration has passed. */
    void stopResponding(double durationMs) {
        eventLoop.execute(() -> unresponsiveUntilMs = RuleChecker.nowMs() + durationMs);
    }

    /** The list as JSON, with each server once and in its latest state. */
    private String listJson(boolean full, List<Entry> listed) {
        Map<String, String> jsonById = new LinkedHashMap<>();
        listed.forEach(entry -> jsonById.put(entry.id, entry.json()));
        return "{\"version\":" + changes.size() + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", jsonById.values()) + "]}";
    }

    /** Serves the requests of one connection, with the query parameters {@code from} and {@code hold_ms}. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
            int fromVersion = query.containsKey("from")
                    ? Integer.parseInt(query.get("from").get(0))
                    : -1;
            long holdMs = query.containsKey("hold_ms")
                    ? Long.parseLong(query.get("hold_ms").get(0))
                    : 0;
            respondWhenChanged(ctx, fromVersion, RuleChecker.nowMs() + holdMs);
        }

        /**
         * Responds with the changes since a version, once there are any or the hold time is over. Responds with the
         * full list if the version is unknown.
         */
        private void respondWhenChanged(ChannelHandlerContext ctx, int fromVersion, double holdUntilMs) {
            if (!ctx.channel().isActive()) {
                return;
            }
            boolean unresponsive = RuleChecker.nowMs() < unresponsiveUntilMs;
            boolean knownVersion = fromVersion >= 0 && fromVersion <= changes.size();
            if (unresponsive || knownVersion && fromVersion == changes.size() && RuleChecker.nowMs() < holdUntilMs) {
                eventLoop.schedule(
                        () -> respondWhenChanged(ctx, fromVersion, holdUntilMs),
                        POLL_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
                return;
            }
            String body = knownVersion
                    ? listJson(false, new ArrayList<>(changes.subList(fromVersion, changes.size())))
                    : listJson(true, new ArrayList<>(entries.values()));
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            HttpUtil.setContentLength(response, body.length());
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
