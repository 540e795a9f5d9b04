package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Checks how the words of start lines are set apart (RFC 9112, sections 3 and 4): by a single space each. The decoder
 * also takes other whitespace, and control characters before the line, so that another recipient may find other words.
 * Empty lines before the line are allowed, and a line feed alone ends it as well.
 */
final class StartLineFraming implements ByteProcessor {
    private static final int REQUEST_WORDS = 3;
    private static final int RESPONSE_WORDS = 2;
    private static final String HTTP_1 = "HTTP/1.";
    private static final String HIGHEST_VERSION = "HTTP/1.1";

    /** What the next byte is a part of, or has to be. */
    private enum Position {
        BEFORE,
        EMPTY_LINE_FEED,
        WORD_START,
        WORD,
        TEXT,
        LINE_FEED,
        BEHIND,
        MALFORMED
    }

    private final int words;
    private final boolean endsWithText;
    private Position position = Position.BEFORE;
    private int wordsBegun;

    private StartLineFraming(int words, boolean endsWithText) {
        this.words = words;
        this.endsWithText = endsWithText;
    }

    /** Of a method, a target and a version. */
    static StartLineFraming ofRequest() {
        return new StartLineFraming(REQUEST_WORDS, false);
    }

    /** Of a version, a code and maybe a text. */
    static StartLineFraming ofResponse() {
        return new StartLineFraming(RESPONSE_WORDS, true);
    }

    /**
     * The version to process a message by: the highest one that the gateway knows, if the message has a higher minor
     * version (RFC 9110, section 2.5). Throws {@link IllegalArgumentException} if it is not of HTTP/1.
     */
    static String supportedVersion(String version) {
        if (version.equals(HIGHEST_VERSION)) {
            return version;
        }
        boolean known = version.startsWith(HTTP_1) && version.length() == HTTP_1.length() + 1;
        String minor = known ? version.substring(HTTP_1.length()) : "";
        if (!NumberGrammar.isWholeNumber(minor)) {
            throw new IllegalArgumentException("not a version of HTTP/1");
        }
        return minor.equals("0") ? version : HIGHEST_VERSION;
    }

    /** Reads what the decoder has read of a head. */
    void read(ByteBuf in, int startIndex) {
        if (!ended()) {
            in.forEachByte(startIndex, in.readerIndex() - startIndex, this);
        }
    }

    /** Reads one byte. Returns whether the next one is of interest. */
    @Override
    public boolean process(byte value) {
        position = after(Byte.toUnsignedInt(value));
        return !ended();
    }

    private boolean ended() {
        return position == Position.BEHIND || position == Position.MALFORMED;
    }

    /** Whether the message has begun: empty lines do not belong to it. */
    boolean begun() {
        return position != Position.BEFORE && position != Position.EMPTY_LINE_FEED;
    }

    boolean malformed() {
        return position == Position.MALFORMED;
    }

    /** Waits for the start line of the next message. */
    void reset() {
        position = Position.BEFORE;
        wordsBegun = 0;
    }

    private Position after(int b) {
        return switch (position) {
            case BEFORE -> beforeLine(b);
            case EMPTY_LINE_FEED -> b == '\n' ? Position.BEFORE : Position.MALFORMED;
            case WORD_START -> wordStart(b);
            case WORD -> isVisible(b) ? position : afterWord(b);
            case TEXT -> isVisible(b) || b == ' ' || b == '\t' ? position : lineEnd(b);
            case LINE_FEED -> b == '\n' ? Position.BEHIND : Position.MALFORMED;
            default -> throw new IllegalStateException(position.toString());
        };
    }

    private Position beforeLine(int b) {
        if (b == '\r') {
            return Position.EMPTY_LINE_FEED;
        }
        return b == '\n' ? position : wordStart(b);
    }

    private Position wordStart(int b) {
        wordsBegun++;
        return isVisible(b) ? Position.WORD : Position.MALFORMED;
    }

    private Position afterWord(int b) {
        if (wordsBegun == words) {
            return b == ' ' && endsWithText ? Position.TEXT : lineEnd(b);
        }
        return b == ' ' ? Position.WORD_START : Position.MALFORMED;
    }

    private static Position lineEnd(int b) {
        if (b == '\r') {
            return Position.LINE_FEED;
        }
        return b == '\n' ? Position.BEHIND : Position.MALFORMED;
    }

    private static boolean isVisible(int b) {
        return b > ' ' && b != Byte.MAX_VALUE;
    }
}
