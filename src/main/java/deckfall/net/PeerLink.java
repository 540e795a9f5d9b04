package deckfall.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Messages between API gateways, sent as datagrams. They may be late, damaged, lost or from unknown senders. */
@Sharable // used by one channel at a time
final class PeerLink extends SimpleChannelInboundHandler<DatagramPacket> {
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final int ALL_PEERS = -1;
    private static final long REBIND_DELAY_MS = 100; // until the process that this one replaces releases the port

    private final Node node;
    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();
    private Channel channel;
    private boolean failureLogged;

    PeerLink(Node node) {
        this.node = node;
        for (int i = 0; i < node.config.peers().size(); i++) {
            peerNumbers.put(node.config.peers().get(i), i);
        }
    }

    /** Binds the port for messages from peers, if the configuration has one. */
    void start() {
        if (node.config.peerListen() == null) {
            return;
        }
        bind();
    }

    private void bind() {
        // A buffer of one byte more than the maximum reveals messages that are too long.
        channel = new Bootstrap()
                .group(node.loop)
                .channel(NioDatagramChannel.class)
                .handler(this)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_MESSAGE_BYTES + 1))
                .bind(node.config.peerListen())
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        if (!failureLogged) { // one line for failures in a row
                            Node.log("no messages from peers yet: " + f.cause().getMessage());
                        }
                        failureLogged = true;
                        scheduleBind();
                    }
                })
                .channel();
    }

    private void scheduleBind() {
        if (!node.loop.isShuttingDown()) {
            node.loop.schedule(this::bind, REBIND_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Binds again, as Netty closes the channel on some temporary read errors. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        scheduleBind();
    }

    /** The current channel. Call on the event loop. */
    Channel channel() {
        return channel;
    }

    /** Sends a message to a peer, or to all of them with number -1. Messages to an unknown peer are dropped. */
    void send(int peer, byte[] data) {
        InetSocketAddress recipient = peer == ALL_PEERS
                ? node.config.peerBroadcast()
                : peer >= 0 && peer < node.config.peers().size()
                        ? node.config.peers().get(peer)
                        : null;
        if (channel == null || recipient == null || data.length > MAX_MESSAGE_BYTES) {
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), recipient), channel.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        Integer peer = peerNumbers.get(packet.sender());
        int length = packet.content().readableBytes();
        if (peer != null && length > 0 && length <= MAX_MESSAGE_BYTES) {
            node.peerMessageReceived(peer, ByteBufUtil.getBytes(packet.content()));
        }
    }

    /** Ignores errors: a lost message is normal, and so is an ICMP error that an earlier one caused. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
}
