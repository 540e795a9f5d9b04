package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Whether a message has begun to come and is not whole. The decoder alone doesn't tell: it takes a head in line by
 * line, so that behind each whole line nothing is left unread.
 */
final class Begun {
    private boolean inside;

    /** After a step of a decoder that read {@code in} from there and had put out so many objects before. */
    void stepped(ByteBuf in, int from, List<Object> out, int had) {
        if (out.size() > had) {
            inside = !(out.get(out.size() - 1) instanceof LastHttpContent);
        } else if (!inside) { // blank lines before a message are none of it
            inside = in.forEachByte(from, in.readerIndex() - from, b -> b == '\r' || b == '\n') >= 0;
        }
    }

    boolean inside() {
        return inside;
    }
}
