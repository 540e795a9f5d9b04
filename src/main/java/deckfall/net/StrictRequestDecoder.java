package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes requests from clients and rejects those whose length is ambiguous. Netty itself drops a Content-Length next
 * to chunked encoding, which an intermediary must not do.
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

    /** Whether bytes have been received that do not form a complete message yet. */
    boolean hasPartialMessage() {
        return actualReadableBytes() > 0 || messageProgress.insideMessage();
    }
}
