package deckfall.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Iterator;

/** How a message gives the length of its body: RFC 9112, section 6, and RFC 9110, section 8.6. */
final class MessageLength {
    private MessageLength() {}

    /**
     * Whether the message has no transfer coding and at most one length, or no length and a single transfer coding,
     * chunked. The gateway asks for no other coding and removes none, and HTTP/1.0 has none.
     */
    static boolean isUnambiguous(HttpMessage message) {
        HttpHeaders headers = message.headers();
        Iterator<? extends CharSequence> lengths = headers.valueCharSequenceIterator(HttpHeaderNames.CONTENT_LENGTH);
        if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return !lengths.hasNext() || NumberGrammar.isWholeNumber(lengths.next()) && !lengths.hasNext();
        }
        return !lengths.hasNext() && hasOnlyChunkedCoding(message);
    }

    private static boolean hasOnlyChunkedCoding(HttpMessage message) {
        Iterator<String> codings = message.headers().valueStringIterator(HttpHeaderNames.TRANSFER_ENCODING);
        return HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.next())
                && !codings.hasNext()
                && message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
    }
}
