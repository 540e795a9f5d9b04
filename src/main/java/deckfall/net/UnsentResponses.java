package deckfall.net;

import io.netty.buffer.Unpooled;

/**
 * Counts the responses that a client has not taken in an account of the memory budget: when they are written, and again
 * once the system has taken all of them.
 */
final class UnsentResponses {
    private final RetryingSocketChannel channel;
    private final MemoryBudget.Account account;
    private final Runnable onAllSent;
    private boolean awaitsSent; // what is unsent will be counted again when it has been sent

    /**
     * Creates a counter. When all that was counted has been sent, {@code onAllSent} is called. It has to call
     * {@link #countAgain} in a task of its own, as the channel still counts a write while it calls its listeners.
     */
    UnsentResponses(RetryingSocketChannel channel, MemoryBudget.Account account, Runnable onAllSent) {
        this.channel = channel;
        this.account = account;
        this.onAllSent = onAllSent;
    }

    /** Counts what is unsent now. */
    void count() {
        long unsent = channel.unsentBytes();
        account.change(unsent - account.bytes());
        if (unsent > 0 && !awaitsSent) {
            awaitsSent = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> onAllSent.run());
        }
    }

    /** Counts again, once all that was counted has been sent. */
    void countAgain() {
        awaitsSent = false;
        count();
    }

    /** The bytes that were unsent when they were last counted. */
    long countedBytes() {
        return account.bytes();
    }

    /** Counts nothing more: the connection has ended. */
    void close() {
        account.close();
    }
}
