package deckfall.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
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

    /**
     * Whether the end of the response can be recognized. The end of the connection marks it only if the host has
     * announced that with a Connection: close header and the connection is not reset; an unannounced end cannot be
     * told from a failure.
     */
    static boolean isDelimited(HttpResponse response) {
        boolean hasLength = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            boolean switchesProtocol = response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            return !hasLength && !switchesProtocol; // it ends with its head, and the final response follows
        }
        return hasLength
                || response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED)
                || response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }
}
