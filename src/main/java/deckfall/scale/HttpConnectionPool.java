package deckfall.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/** A client's connections to one address. Each carries one request at a time; a new one is opened if all are busy. */
final class HttpConnectionPool {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final EventLoopGroup group;
    private final InetSocketAddress address;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();

    HttpConnectionPool(EventLoopGroup group, InetSocketAddress address) {
        this.group = group;
        this.address = address;
    }

    /** Sends a request. The callback gets the response, which is released afterwards, or null if there was none. */
    void send(FullHttpRequest request, Consumer<FullHttpResponse> onResponse) {
        Connection idleConnection = idle.pollLast();
        if (idleConnection != null) {
            idleConnection.send(request, onResponse);
            return;
        }
        Connection newConnection = new Connection();
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        newConnection.channel = ch;
                        ch.pipeline()
                                .addLast(
                                        new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), newConnection);
                    }
                })
                .connect(address)
                .addListener(future -> {
                    if (future.isSuccess()) {
                        newConnection.send(request, onResponse);
                    } else {
                        request.release();
                        onResponse.accept(null);
                    }
                });
    }

    /** One connection, which goes back to the pool after each response. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Consumer<FullHttpResponse> pendingCallback;

        void send(FullHttpRequest request, Consumer<FullHttpResponse> onResponse) {
            pendingCallback = onResponse;
            channel.writeAndFlush(request, channel.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Consumer<FullHttpResponse> callback = pendingCallback;
            pendingCallback = null;
            idle.addLast(this);
            if (callback != null) {
                callback.accept(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            if (pendingCallback != null) {
                pendingCallback.accept(null);
                pendingCallback = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
