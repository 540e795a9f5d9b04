package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses of hosts and rejects malformed status lines, header lines without a colon, messages of two lengths
 * and malformed chunks, all of which Netty's decoder reads in a way of its own. What the decoder holds is counted in the connection's account.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final int STATUS_DIGITS = 3;

    private final DecoderMemory memory;
    private final MessageFraming framing = new MessageFraming(StartLineFraming.ofResponse());

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
        if (!memory.discarding() && framing.accepts(in, out)) {
            super.decode(ctx, in, out);
            framing.decoded(in, out);
        }
        memory.decoded(in, out);
    }

    /** Drops what is held of a response head or trailer, and all that still arrives. */
    void discard() {
        memory.discard();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        initialLine[0] = StartLineFraming.supportedVersion(initialLine[0]);
        if (initialLine[1].length() != STATUS_DIGITS || !NumberGrammar.isWholeNumber(initialLine[1])) {
            throw new IllegalArgumentException("not a status code");
        }
        HttpMessage message = super.createMessage(initialLine);
        CountedHeaders.countStartLine(message, initialLine[2].length());
        return message;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** The name ends at the first whitespace, even if no colon follows. */
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
        return actualReadableBytes() > 0 || framing.insideMessage();
    }
}
