package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses of hosts and rejects header lines without a colon. Netty's response decoder also ends a header name
 * at the first whitespace, so it accepts a line without a colon as a header without a value.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private final MessageProgress messageProgress = new MessageProgress();

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int startIndex = in.readerIndex();
        int sizeBefore = out.size();
        super.decode(ctx, in, out);
        messageProgress.decoded(in, startIndex, out, sizeBefore);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') { // in bounds, as the name ends before a colon or whitespace
            throw new IllegalArgumentException("no colon after a header name");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Whether a part of a message has been received that is not complete yet. */
    boolean hasPartialMessage() {
        return actualReadableBytes() > 0 || messageProgress.insideMessage();
    }
}
