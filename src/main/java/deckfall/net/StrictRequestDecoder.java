package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Reads clients' requests, and calls one whose length can be read in two ways malformed. Netty's own reading drops
 * the Content-Length beside chunks, as whoever stands in between may not.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private final MessageProgress messageProgress = new MessageProgress();

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int startIndex = in.readerIndex();
        int sizeBefore = out.size();
        super.decode(ctx, in, out);
        messageProgress.decoded(in, startIndex, out, sizeBefore);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** True where bytes have come that are no whole message yet. */
    boolean hasPartialMessage() {
        return actualReadableBytes() > 0 || messageProgress.insideMessage();
    }
}
