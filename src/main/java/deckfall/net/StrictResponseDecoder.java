package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses of hosts and rejects header lines without a colon. Netty's response decoder also ends a header name
 * at the first whitespace, so it accepts a line without a colon as a header without a value. What the decoder holds is
 * counted in the connection's account.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private final DecoderMemory memory;
    private final MessageProgress messageProgress = new MessageProgress();

    StrictResponseDecoder(MemoryBudget.Account account) {
        this(new DecoderMemory(account));
    }

    private StrictResponseDecoder(DecoderMemory memory) {
        super(memory.decoderConfig());
        this.memory = memory;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        super.channelRead(ctx, message);
        memory.undecoded(actualReadableBytes() == 0 ? 0 : internalBuffer().capacity());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (!memory.discarding()) {
            int startIndex = in.readerIndex();
            int sizeBefore = out.size();
            super.decode(ctx, in, out);
            messageProgress.decoded(in, startIndex, out, sizeBefore);
        }
        memory.decoded(in, out);
    }

    /** Drops what is held of a response head or trailer, and all that still arrives. */
    void discard() {
        memory.discard();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        HttpMessage message = super.createMessage(initialLine);
        CountedHeaders.countStartLine(message, initialLine[2].length());
        return message;
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        memory.line(line);
        if (line[start + length] != ':') { // in bounds, as the name ends before a colon or whitespace
            throw new IllegalArgumentException("no colon after a header name");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
        memory.line(line);
        return super.splitThirdWordInitialLine(line, start, length);
    }

    /** Whether a part of a message has been received that is not complete yet. */
    boolean hasPartialMessage() {
        return actualReadableBytes() > 0 || messageProgress.insideMessage();
    }
}
