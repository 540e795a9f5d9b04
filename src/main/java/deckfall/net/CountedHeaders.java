package deckfall.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;

/**
 * The header or trailer fields of a message, counted in its connection's account by the memory that they take: many
 * short fields take a multiple of their size on the wire. A field is counted before it is stored.
 */
final class CountedHeaders extends DefaultHttpHeaders {
    // The message, the map of its fields with its table, and the parts of the start line
    private static final int MESSAGE_BYTES = 512;
    // An entry of the map (40), the objects of a name (32 + 16) and of a value (24 + 16), and their padding
    private static final int FIELD_BYTES = 144;

    private final MemoryBudget.Account account;
    private long bytes;

    /** Creates headers without fields. Throws {@link MemoryExhaustedException} if they must not be held. */
    CountedHeaders(MemoryBudget.Account account) {
        this.account = account;
        count(MESSAGE_BYTES);
    }

    /** The headers of a message, or null if they are not counted: an unreadable message has others. */
    static CountedHeaders of(HttpHeaders headers) {
        return headers instanceof CountedHeaders counted ? counted : null;
    }

    /** Counts the start line of a message with counted headers. */
    static void countStartLine(HttpMessage message, int length) {
        CountedHeaders headers = of(message.headers());
        if (headers != null) {
            headers.count(length);
        }
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        count(FIELD_BYTES + name.length() + (value instanceof CharSequence text ? text.length() : 0));
        return super.add(name, value);
    }

    private void count(long more) {
        if (!account.reserve(more)) {
            throw new MemoryExhaustedException();
        }
        bytes += more;
    }

    /** The memory that the message head takes. */
    long bytes() {
        return bytes;
    }

    /** Stops counting these fields in the account of the connection. */
    void release() {
        account.release(bytes);
        bytes = 0;
    }
}
