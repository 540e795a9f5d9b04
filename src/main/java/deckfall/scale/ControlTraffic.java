package deckfall.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes and messages of one gateway's control connections in both directions. */
@Sharable
final class ControlTraffic extends ChannelDuplexHandler {
    private long bytes;
    private long messages;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        bytes += message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        bytes += message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        ctx.write(message, promise);
    }

    void countMessage() {
        messages++;
    }

    long bytes() {
        return bytes;
    }

    long messages() {
        return messages;
    }
}
