package deckfall.net;

import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listener whose connections outlive calls that fail for a moment, and whose queue can be emptied at its end. */
final class RetryingServerSocketChannel extends NioServerSocketChannel {
    private static final int MAX_READ_ROUNDS = 256; // of a read, which accepts up to 16: no queue is that long

    private final FailureSpell failures = new FailureSpell();
    private double queueWaitMs; // for which those in the queue may have waited for calls that failed
    private boolean queueEmpty; // by the last accept

    /** One that is yet to be bound. */
    RetryingServerSocketChannel() {}

    /** One that the platform has bound. */
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
        } catch (RuntimeException e) {
            socket.close();
            throw e;
        }
        return 1;
    }

    private SocketChannel accept() throws IOException {
        try {
            SocketChannel socket = javaChannel().accept();
            queueWaitMs = Math.max(queueWaitMs, failures.over());
            return socket;
        } catch (IOException e) {
            failures.failed();
            throw e;
        }
    }

    /** Accepts all that wait, on the event loop; false where the last call failed, so that some may still wait. */
    boolean acceptQueued() {
        queueEmpty = !isOpen();
        for (int round = 0; round < MAX_READ_ROUNDS && !queueEmpty && config().isAutoRead(); round++) {
            ((AbstractNioChannel.NioUnsafe) unsafe()).read();
        }
        return queueEmpty;
    }
}
