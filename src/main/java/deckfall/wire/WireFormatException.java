package deckfall.wire;

/** Thrown for a line or a field that cannot be parsed; the message says what is wrong with it. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
