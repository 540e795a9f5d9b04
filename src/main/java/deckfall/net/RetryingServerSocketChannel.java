package deckfall.net;

import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * A listener whose connections survive transient failures of system calls, and whose accept queue can be emptied before
 * it is closed.
 */
final class RetryingServerSocketChannel extends NioServerSocketChannel {
    // Each read accepts up to 16 connections; no accept queue is longer than all rounds together
    private static final int MAX_READ_ROUNDS = 256;

    private final FailureStreak failures = new FailureStreak();
    private double queueWaitMs; // how long queued connections may have waited because accepting failed
    private boolean queueEmpty; // as of the last accept

    /** Creates a listener that is not bound yet. */
    RetryingServerSocketChannel() {}

    /** Wraps a listener that the platform has bound. */
    RetryingServerSocketChannel(ServerSocketChannel inherited) {
        super(inherited);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        queueEmpty = false;
        SocketChannel socket = accept();
        if (socket == null) {
            queueEmpty = true;
            queueWaitMs = 0;
            return 0;
        }
        try {
            accepted.add(new RetryingSocketChannel(this, socket, queueWaitMs));
        } catch (RuntimeException | Error e) {
            socket.close();
            throw e;
        }
        return 1;
    }

    /** Goes on listening after an error: only the connection that could not be accepted is lost. */
    @Override
    protected boolean closeOnReadError(Throwable cause) {
        return !(cause instanceof Error) && super.closeOnReadError(cause);
    }

    private SocketChannel accept() throws IOException {
        try {
            SocketChannel socket = javaChannel().accept();
            queueWaitMs = Math.max(queueWaitMs, failures.recordSuccess());
            return socket;
        } catch (IOException e) {
            failures.recordFailure();
            throw e;
        }
    }

    /**
     * Accepts all queued connections. Must be called on the event loop. Returns false if the last call failed, so that
     * some connections may still be queued.
     */
    boolean acceptQueued() {
        queueEmpty = !isOpen();
        for (int round = 0; round < MAX_READ_ROUNDS && !queueEmpty && config().isAutoRead(); round++) {
            ((AbstractNioChannel.NioUnsafe) unsafe()).read();
        }
        return queueEmpty;
    }
}
