package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * A connection that survives reads and writes that fail transiently. Netty mistakes an interrupted read, which Java
 * reports as a count below -1, for the end of the connection, and closes a connection on any failed read or write.
 */
final class RetryingSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;
    private static final int PENDING_WRITE_BYTES = 400; // the objects of a pending write, without its bytes
    private static final double MAX_FAILING_MS = 1000; // after this the connection counts as broken

    private final boolean accepted; // from a client, which must get a response even if it is reported unreachable
    private double readDelayMs;
    private boolean allRead; // the last read took all that had arrived
    private final FailureStreak readFailures = new FailureStreak();
    private final FailureStreak writeFailures = new FailureStreak();

    /** Creates a channel that is not connected yet. */
    RetryingSocketChannel() {
        accepted = false;
    }

    /**
     * Wraps a socket that a listener has accepted, and that may have waited this long in the queue because accepting
     * failed.
     */
    RetryingSocketChannel(Channel listener, SocketChannel socket, double queueWaitMs) {
        super(listener, socket);
        accepted = true;
        readDelayMs = queueWaitMs;
    }

    /** How long the bytes that are being read may have waited, at most, because calls failed. */
    double readDelayMs() {
        return readDelayMs;
    }

    /** Whether the last read took all that had arrived. */
    boolean allRead() {
        return allRead;
    }

    /** Whether the last read failed transiently, so that it is unknown what has arrived. */
    boolean readFailing() {
        return readFailures.isActive();
    }

    /** Whether the system has taken everything that was written to this channel. */
    boolean allWritten() {
        ChannelOutboundBuffer out = unsafe().outboundBuffer(); // null once closed
        return out == null || out.isEmpty();
    }

    /** The memory of what was written to this channel and the system has not taken yet. */
    long unsentBytes() {
        ChannelOutboundBuffer out = unsafe().outboundBuffer(); // null once closed
        return out == null ? 0 : out.totalPendingWriteBytes() + (long) out.size() * PENDING_WRITE_BYTES;
    }

    /** The number of writes that the system has not taken yet. */
    int unsentWrites() {
        ChannelOutboundBuffer out = unsafe().outboundBuffer(); // null once closed
        return out == null ? 0 : out.size();
    }

    /** Resets the read delay: bytes that are read from now on have arrived since. */
    void resetReadDelay() {
        readDelayMs = 0;
    }

    private boolean isRetried(IOException e, FailureStreak failures) {
        return (TransientErrors.isSystemError(e) || accepted && TransientErrors.isUnreachable(e))
                && failures.recordFailure() < MAX_FAILING_MS;
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        int room = buffer.writableBytes();
        int read;
        allRead = false;
        try {
            read = super.doReadBytes(buffer);
        } catch (IOException e) {
            if (isRetried(e, readFailures)) {
                return 0; // the next iteration of the loop reads again
            }
            throw e;
        }
        if (read < END_OF_STREAM) { // interrupted
            readFailures.recordFailure();
            return 0;
        }
        allRead = read < room;
        readDelayMs = Math.max(readDelayMs, readFailures.recordSuccess());
        return read;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        try {
            super.doWrite(buffer);
        } catch (IOException e) {
            if (!isRetried(e, writeFailures)) {
                throw e;
            }
            setOpWrite(); // the next iteration of the loop writes the rest
            return;
        }
        writeFailures.recordSuccess();
    }
}
