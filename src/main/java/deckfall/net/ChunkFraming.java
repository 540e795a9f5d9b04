package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Checks the lines of chunked bodies (RFC 9112, section 7.1) before the decoder of a connection reads them, as that one
 * passes over what it does not expect. What is skipped or misread by one recipient may be a request to the next one.
 *
 * <p>A body is checked up to its last chunk; the fields of a trailer are checked with those of heads.
 */
final class ChunkFraming {
    private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE; // which the decoder can count
    private static final int HEX = 16;
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    /** What the next byte is a part of, or has to be. */
    private enum Position {
        NOT_CHUNKED,
        SIZE_START,
        SIZE,
        EXTENSION_START(true), // only whitespace since the size or a value
        NAME_START(true),
        NAME(true),
        VALUE_MARK(true), // only whitespace since a name
        VALUE_START(true),
        VALUE(true),
        QUOTED(true),
        QUOTED_PAIR(true),
        QUOTED_END(true),
        LINE_FEED,
        DATA,
        DATA_CARRIAGE_RETURN,
        DATA_LINE_FEED,
        AFTER_LAST_CHUNK,
        MALFORMED;

        final boolean inExtension;

        Position() {
            this(false);
        }

        Position(boolean inExtension) {
            this.inExtension = inExtension;
        }
    }

    private Position position = Position.NOT_CHUNKED;
    private long chunkBytes; // of the current chunk, still to come
    private int checkedAhead; // bytes that are checked and not decoded yet

    /**
     * Checks all bytes up to the end of the last chunk. Returns true if the body is malformed: then they are dropped, and
     * the first such call puts out an object that says so.
     */
    boolean rejects(ByteBuf in, List<Object> out) {
        if (position != Position.MALFORMED) {
            check(in);
            if (position != Position.MALFORMED) {
                return false;
            }
            out.add(malformedContent());
        }
        in.skipBytes(in.readableBytes());
        return true;
    }

    private void check(ByteBuf in) {
        int index = in.readerIndex() + checkedAhead;
        while (index < in.writerIndex() && inChunks()) {
            if (position == Position.DATA) {
                int skipped = (int) Math.min(chunkBytes, in.writerIndex() - index);
                index += skipped;
                chunkBytes -= skipped;
                position = chunkBytes == 0 ? Position.DATA_CARRIAGE_RETURN : Position.DATA;
            } else {
                Position before = position;
                position = after(in.getUnsignedByte(index));
                hideExtension(in, index, before);
                index++;
            }
        }
        checkedAhead = index - in.readerIndex();
    }

    /**
     * Writes a plain extension over the one that was received, whose content nobody uses: the decoder refuses some forms
     * of whitespace and of quoted text, which are allowed.
     */
    private void hideExtension(ByteBuf in, int index, Position before) {
        if (before == Position.SIZE && position.inExtension) {
            in.setByte(index, ';');
        } else if (before.inExtension && position.inExtension) {
            in.setByte(index, 'x');
        }
    }

    private boolean inChunks() {
        return position != Position.NOT_CHUNKED
                && position != Position.AFTER_LAST_CHUNK
                && position != Position.MALFORMED;
    }

    /**
     * Takes note of a call of the decoder that read {@code in} from {@code startIndex} on, and whose output had
     * {@code sizeBefore} objects before the call.
     */
    void decoded(ByteBuf in, int startIndex, List<Object> out, int sizeBefore) {
        checkedAhead = Math.max(0, checkedAhead - (in.readerIndex() - startIndex));
        Object last = out.size() > sizeBefore ? out.get(out.size() - 1) : null;
        if (last instanceof LastHttpContent) {
            position = Position.NOT_CHUNKED;
        } else if (last instanceof HttpMessage message && HttpUtil.isTransferEncodingChunked(message)) {
            position = Position.SIZE_START;
        }
    }

    private static LastHttpContent malformedContent() {
        LastHttpContent content = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
        content.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("malformed chunk")));
        return content;
    }

    /** The position after this byte at the current one. */
    private Position after(int b) {
        return switch (position) {
            case SIZE_START, SIZE -> afterSize(b);
            case EXTENSION_START -> isWhitespace(b) ? position : requireByte(b, ';', Position.NAME_START);
            case NAME_START -> isWhitespace(b) ? position : isToken(b) ? Position.NAME : Position.MALFORMED;
            case NAME -> isToken(b) ? position : b == '\r' ? Position.LINE_FEED : afterName(b);
            case VALUE_MARK -> afterName(b);
            case VALUE_START -> afterValueMark(b);
            case VALUE -> isToken(b) ? position : afterValue(b);
            case QUOTED -> insideQuotes(b);
            case QUOTED_PAIR -> isText(b) ? Position.QUOTED : Position.MALFORMED;
            case QUOTED_END -> afterValue(b);
            case LINE_FEED -> requireByte(b, '\n', chunkBytes == 0 ? Position.AFTER_LAST_CHUNK : Position.DATA);
            case DATA_CARRIAGE_RETURN -> requireByte(b, '\r', Position.DATA_LINE_FEED);
            case DATA_LINE_FEED -> requireByte(b, '\n', Position.SIZE_START);
            default -> throw new IllegalStateException(position.toString());
        };
    }

    private static Position requireByte(int b, char required, Position next) {
        return b == required ? next : Position.MALFORMED;
    }

    private Position afterSize(int b) {
        int digit = NumberGrammar.hexDigit(b);
        if (digit < 0) {
            return position == Position.SIZE ? afterValue(b) : Position.MALFORMED;
        }
        chunkBytes = (position == Position.SIZE ? chunkBytes * HEX : 0) + digit;
        return chunkBytes > MAX_CHUNK_BYTES ? Position.MALFORMED : Position.SIZE;
    }

    /** After the size, or the value of an extension. */
    private static Position afterValue(int b) {
        if (b == '\r') {
            return Position.LINE_FEED;
        }
        return isWhitespace(b) ? Position.EXTENSION_START : requireByte(b, ';', Position.NAME_START);
    }

    private static Position afterName(int b) {
        if (isWhitespace(b)) {
            return Position.VALUE_MARK;
        }
        return b == '=' ? Position.VALUE_START : requireByte(b, ';', Position.NAME_START);
    }

    private static Position afterValueMark(int b) {
        if (isWhitespace(b)) {
            return Position.VALUE_START;
        }
        return isToken(b) ? Position.VALUE : requireByte(b, '"', Position.QUOTED);
    }

    private static Position insideQuotes(int b) {
        if (b == '"') {
            return Position.QUOTED_END;
        }
        return b == '\\' ? Position.QUOTED_PAIR : isText(b) ? Position.QUOTED : Position.MALFORMED;
    }

    private static boolean isWhitespace(int b) {
        return b == ' ' || b == '\t';
    }

    private static boolean isText(int b) {
        return b == '\t' || b >= ' ' && b != Byte.MAX_VALUE;
    }

    private static boolean isToken(int b) {
        return b >= 'a' && b <= 'z'
                || b >= 'A' && b <= 'Z'
                || b >= '0' && b <= '9'
                || TOKEN_PUNCTUATION.indexOf(b) >= 0;
    }
}
