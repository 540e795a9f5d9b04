package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Counts in a connection's account what its decoder holds: the fields of a head or trailer that is not complete, the
 * buffer of bytes that were received and not decoded yet, and the line buffer, which grows to the longest line and stays.
 */
final class DecoderMemory implements HttpHeadersFactory {
    private static final int INITIAL_LINE_BYTES = 128; // part of what every connection takes

    private final MemoryBudget.Account account;
    private CountedHeaders incomplete; // the fields that are being received, or null
    private int lineBytes = INITIAL_LINE_BYTES;
    private int undecodedBytes;
    private boolean discarding; // whatever arrives is dropped

    DecoderMemory(MemoryBudget.Account account) {
        this.account = account;
    }

    /**
     * The configuration of a decoder whose heads and trailers are counted. A line feed alone ends their lines as well
     * (RFC 9112, section 2.2).
     */
    HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setHeadersFactory(this)
                .setTrailersFactory(this)
                .setStrictLineParsing(false);
    }

    @Override
    public HttpHeaders newHeaders() {
        incomplete = new CountedHeaders(account);
        return incomplete;
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return newHeaders();
    }

    /**
     * Takes note of a call of the decoder that put these objects out: fields that are handed over belong to their message
     * from now on. Drops everything if {@link #discard} was called, before or during the call.
     */
    void decoded(ByteBuf in, List<Object> out) {
        if (!out.isEmpty()) {
            incomplete = null;
        }
        if (discarding) {
            out.forEach(ReferenceCountUtil::release);
            out.clear();
            in.skipBytes(in.readableBytes());
        }
    }

    /** Drops the fields of an incomplete head or trailer, and whatever is decoded from now on. */
    void discard() {
        discarding = true;
        if (incomplete != null) {
            incomplete.clear();
            incomplete = null;
        }
    }

    boolean discarding() {
        return discarding;
    }

    /** Sets the size of the buffer that holds undecoded bytes, 0 if there is none. */
    void undecoded(int capacity) {
        int change = capacity - undecodedBytes;
        undecodedBytes = capacity;
        account.change(change);
    }

    /** The size of the buffer that holds undecoded bytes. */
    int undecoded() {
        return undecodedBytes;
    }

    /** Counts the growth of the line buffer. Called with it while a line is parsed. */
    void line(byte[] buffer) {
        int growth = buffer.length - lineBytes;
        if (growth > 0) {
            lineBytes = buffer.length;
            account.reserve(growth);
        }
    }
}
