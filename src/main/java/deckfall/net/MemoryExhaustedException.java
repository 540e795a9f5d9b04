package deckfall.net;

/** A part of a message must not be held, as the memory budget is used up and its connection holds most of it. */
final class MemoryExhaustedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MemoryExhaustedException() {
        super("memory budget exhausted", null, false, false); // without a stack trace, as memory is short
    }
}
