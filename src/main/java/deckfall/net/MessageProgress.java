package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Tracks whether a message has been received in part. The decoder alone does not show this: it consumes a head line by
 * line, so that no unread bytes are left after a complete line.
 */
final class MessageProgress {
    private boolean insideMessage;

    /**
     * Updates the state after a call of a decoder that read {@code in} from {@code startIndex} on, and whose output had
     * {@code sizeBefore} objects before the call.
     */
    void decoded(ByteBuf in, int startIndex, List<Object> out, int sizeBefore) {
        if (out.size() > sizeBefore) {
            insideMessage = !(out.get(out.size() - 1) instanceof LastHttpContent);
        } else if (!insideMessage) { // blank lines before a message do not belong to it
            insideMessage = in.forEachByte(startIndex, in.readerIndex() - startIndex, b -> b == '\r' || b == '\n') >= 0;
        }
    }

    boolean insideMessage() {
        return insideMessage;
    }
}
