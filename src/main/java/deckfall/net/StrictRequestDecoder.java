package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes requests from clients, one at a time: bytes behind a request stay as they were received until the connection
 * takes the next one, as decoded messages take a multiple of the memory. What the decoder holds is counted in the
 * connection's account.
 *
 * <p>Rejects requests whose length is ambiguous, and start lines and chunks that are malformed. Netty itself drops a
 * Content-Length next to chunked encoding, which an intermediary must not do.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** The connection that takes the decoded requests. */
    interface Receiver {
        /**
         * Whether the connection takes the next object now: the start of a request, or a further part of the one whose
         * head it has.
         */
        boolean takesNext(boolean insideRequest);

        /** Called with the number of bytes of each read. */
        void received(int bytes);

        /** When the bytes that are read now arrived, at the earliest. */
        double receiveTimeMs();
    }

    private final Receiver receiver;
    private final DecoderMemory memory;
    private final MessageFraming framing = new MessageFraming(StartLineFraming.ofRequest());
    private final ReceiveTimes receiveTimes = new ReceiveTimes();
    private ChannelHandlerContext context;
    private boolean reading; // inside a call of channelRead

    StrictRequestDecoder(Receiver receiver, MemoryBudget.Account account) {
        this(receiver, new DecoderMemory(account));
    }

    private StrictRequestDecoder(Receiver receiver, DecoderMemory memory) {
        super(memory.decoderConfig());
        this.receiver = receiver;
        this.memory = memory;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        super.handlerAdded(ctx);
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        int bytes = ((ByteBuf) message).readableBytes();
        receiver.received(bytes);
        receiveTimes.received(bytes, receiver.receiveTimeMs());
        decodeWith((ByteBuf) message);
    }

    /** Decodes nothing more: the client has gone. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        memory.discard();
        super.channelInactive(ctx);
    }

    private void decodeWith(ByteBuf received) throws Exception {
        reading = true;
        try {
            super.channelRead(context, received);
        } finally {
            reading = false;
        }
        memory.undecoded(undecodedBytes() == 0 ? 0 : internalBuffer().capacity());
    }

    /** Decodes on in the bytes that are held, if the connection takes more. Must not be called inside a read. */
    void decodeHeld() throws Exception {
        if (undecodedBytes() > 0 && receiver.takesNext(framing.insideMessage())) {
            decodeWith(Unpooled.EMPTY_BUFFER);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (!memory.discarding()) {
            if (!receiver.takesNext(framing.insideMessage())) {
                return;
            }
            if (framing.accepts(in, out)) {
                super.decode(ctx, in, out);
                framing.decoded(in, out);
            }
        }
        memory.decoded(in, out);
    }

    /** Drops what is held of further requests, and all that still arrives. */
    void discard() {
        memory.discard();
        if (reading || undecodedBytes() == 0) { // a call that is reading drops what it has
            return;
        }
        try {
            decodeWith(Unpooled.EMPTY_BUFFER);
        } catch (Exception e) { // nothing is decoded any more
            throw new IllegalStateException(e);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        initialLine[2] = StartLineFraming.supportedVersion(initialLine[2]);
        HttpMessage message = super.createMessage(initialLine);
        CountedHeaders.countStartLine(message, initialLine[1].length());
        return message;
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        memory.line(line);
        return super.splitSecondWordInitialLine(line, start, length);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        memory.line(line);
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** When the object that was decoded last had been received, at the earliest. */
    double receiveTimeMs() {
        return receiveTimes.lastDecoded(undecodedBytes());
    }

    /** The memory of the buffer that holds undecoded bytes. */
    int undecodedMemory() {
        return memory.undecoded();
    }

    /** The number of bytes that were received and not decoded yet. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Whether bytes have been received that do not form a complete message yet, or that were not decoded yet. */
    boolean hasPartialMessage() {
        return undecodedBytes() > 0 || !memory.discarding() && framing.insideMessage();
    }
}
