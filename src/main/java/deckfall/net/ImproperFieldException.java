package deckfall.net;

/** Thrown when a field of a message is missing, stands there more often than it may, or has an improper value. */
final class ImproperFieldException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ImproperFieldException(CharSequence name) {
        super("improper field " + name, null, false, false); // without a stack trace, as peers may send many of them
    }
}
