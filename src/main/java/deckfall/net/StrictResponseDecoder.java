package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Reads a host's answers, and calls one with a header line that is no header unreadable. Netty's own reading of
 * responses ends a name at the first blank, so a line without a colon passes there as a header without a value.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private final MessageProgress messageProgress = new MessageProgress();

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int startIndex = in.readerIndex();
        int previousSize = out.size();
        super.decode(ctx, in, out);
        messageProgress.decoded(in, startIndex, out, previousSize);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') { // there is a byte: the name ends before a colon or a blank
            throw new IllegalArgumentException("no colon after a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** True where bytes have come that are no whole message yet. */
    boolean hasPartialMessage() {
        return actualReadableBytes() > 0 || messageProgress.insideMessage();
    }
}
