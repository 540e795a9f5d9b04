package deckfall.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Iterator;

/** Fields that may stand in a message once (RFC 9110, section 5.3). */
final class SingleFields {
    private SingleFields() {}

    /**
     * The value of a field, or null if the message does not have it. Throws {@link ImproperFieldException} if it has
     * several, as another recipient may use another one of them.
     */
    static String optional(HttpHeaders headers, CharSequence name) {
        Iterator<String> values = headers.valueStringIterator(name);
        String value = values.hasNext() ? values.next() : null;
        if (values.hasNext()) {
            throw new ImproperFieldException(name);
        }
        return value;
    }

    /** The value of a field. Throws {@link ImproperFieldException} if the message does not have exactly one. */
    static String required(HttpHeaders headers, CharSequence name) {
        String value = optional(headers, name);
        if (value == null) {
            throw new ImproperFieldException(name);
        }
        return value;
    }

    /** Whether the request names no host or a proper one, once (RFC 9112, section 3.2). */
    static boolean hasProperHost(HttpRequest head) {
        Iterator<String> hosts = head.headers().valueStringIterator(HttpHeaderNames.HOST);
        return !hosts.hasNext() || UriGrammar.isHostAndPort(hosts.next()) && !hosts.hasNext();
    }

    /** Whether the request names a host, as one of HTTP/1.1 must. */
    static boolean namesHost(HttpRequest head) {
        return head.headers().contains(HttpHeaderNames.HOST)
                || head.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }
}
