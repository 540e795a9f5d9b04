package deckfall.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Opens the listeners of the simulated services, on the loopback address and on ports that the system chooses. */
final class LoopbackListeners {
    private static final int ACCEPT_BACKLOG = 256; // connections not yet accepted

    private LoopbackListeners() {}

    /** Opens a listener and returns its address. Must not be called on the event loop, since it blocks. */
    static InetSocketAddress open(EventLoopGroup group, Supplier<ChannelHandler[]> handlers) {
        Channel listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(handlers.get());
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }
}
