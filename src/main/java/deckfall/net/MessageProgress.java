package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Whether a message has begun to come and is not whole. The decoder alone doesn't tell: it takes a head in line by
 * line, so that behind each whole line nothing is left unread.
 */
final class MessageProgress {
    private boolean insideMessage;

    /** After a step of a decoder that read {@code in} from there and had put out so many objects before. */
    void decoded(ByteBuf in, int startIndex, List<Object> out, int sizeBefore) {
        if (out.size() > sizeBefore) {
            insideMessage = !(out.get(out.size() - 1) instanceof LastHttpContent);
        } else if (!insideMessage) { // blank lines before a message are none of it
            insideMessage = in.forEachByte(startIndex, in.readerIndex() - startIndex, b -> b == '\r' || b == '\n') >= 0;
        }
    }

    boolean insideMessage() {
        return insideMessage;
    }
}
