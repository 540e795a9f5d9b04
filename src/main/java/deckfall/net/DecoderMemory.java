package deckfall.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

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

    DecoderMemory(MemoryBudget.Account account) {
        this.account = account;
    }

    /** The configuration of a decoder whose heads and trailers are counted. */
    HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig().setHeadersFactory(this).setTrailersFactory(this);
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

    /** The decoder has handed over the fields: from now on they belong to their message. */
    void handedOver() {
        incomplete = null;
    }

    /** Drops the fields of an incomplete head or trailer. */
    void dropIncomplete() {
        if (incomplete != null) {
            incomplete.clear();
            incomplete = null;
        }
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

    /** Notes the line buffer, as it is while a line is parsed. */
    void line(byte[] buffer) {
        int growth = buffer.length - lineBytes;
        if (growth > 0) {
            lineBytes = buffer.length;
            account.reserve(growth);
        }
    }
}
