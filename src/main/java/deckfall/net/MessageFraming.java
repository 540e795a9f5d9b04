package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Follows the messages that a decoder reads, and rejects those that it reads although their start line, their length
 * or their chunks are malformed. {@link #accepts} is called before each call of the decoder, {@link #decoded} after it.
 */
final class MessageFraming {
    private final StartLineFraming startLine;
    private final ChunkFraming chunks = new ChunkFraming();
    private boolean insideBody;
    private int startIndex; // of the current call of the decoder
    private int sizeBefore; // of its output

    MessageFraming(StartLineFraming startLine) {
        this.startLine = startLine;
    }

    /** Whether the decoder may read on. Otherwise the bytes are dropped, and the body ends with a failure. */
    boolean accepts(ByteBuf in, List<Object> out) {
        startIndex = in.readerIndex();
        sizeBefore = out.size();
        return !chunks.rejects(in, out);
    }

    /** Takes note of a call of the decoder, which has read up to the reader's index. */
    void decoded(ByteBuf in, List<Object> out) {
        if (!insideBody) {
            startLine.read(in, startIndex);
        }
        chunks.decoded(in, startIndex, out, sizeBefore);
        for (int i = sizeBefore; i < out.size(); i++) {
            follow(out.get(i));
        }
    }

    private void follow(Object decoded) {
        if (decoded instanceof HttpMessage message) {
            if (startLine.malformed()) {
                reject(message, "malformed start line");
            } else if (!MessageLength.isUnambiguous(message)) {
                reject(message, "ambiguous length");
            }
            insideBody = true;
        }
        if (decoded instanceof LastHttpContent) {
            insideBody = false;
            startLine.reset();
        }
    }

    private static void reject(HttpMessage message, String reason) {
        if (message.decoderResult().isSuccess()) {
            message.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(reason)));
        }
    }

    /**
     * Whether a message has been received in part. The decoder alone does not show this: it consumes a head line by line,
     * so that no unread bytes are left after a complete line.
     */
    boolean insideMessage() {
        return insideBody || startLine.begun();
    }
}
