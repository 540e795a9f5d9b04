package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * A connection that outlives reads and writes that fail for a moment. Netty takes an interrupted read, which Java tells
 * by a count below -1, for the end of the connection, and closes a connection on any failed read or write.
 */
final class RetryingSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;
    private static final double MAX_FAILING_MS = 1000; // then it counts as broken

    private final boolean accepted; // from a client, to whom an answer is owed whatever its way back reports
    private double readDelayMs;
    private final FailureSpell readFailures = new FailureSpell();
    private final FailureSpell writeFailures = new FailureSpell();

    /** One that is yet to be connected. */
    RetryingSocketChannel() {
        accepted = false;
    }

    /** One that a listener has accepted, after a spell of failures in which it may have waited for so long. */
    RetryingSocketChannel(Channel listener, SocketChannel socket, double queueWaitMs) {
        super(listener, socket);
        accepted = true;
        readDelayMs = queueWaitMs;
    }

    /** How long the bytes that are being read may have waited, at most, for calls that failed. */
    double readDelayMs() {
        return readDelayMs;
    }

    /** Whether the last read failed for the moment: what has come is not known then. */
    boolean readFailing() {
        return readFailures.on();
    }

    /** Whether nothing that was written here still waits for the system to take it. */
    boolean allWritten() {
        ChannelOutboundBuffer out = unsafe().outboundBuffer(); // null once closed
        return out == null || out.isEmpty();
    }

    /** What is read from here on has come since. */
    void resetReadDelay() {
        readDelayMs = 0;
    }

    private boolean isRetried(IOException e, FailureSpell failures) {
        return (TransientErrors.isSystemError(e) || accepted && TransientErrors.isUnreachable(e))
                && failures.failed() < MAX_FAILING_MS;
    }

    @Override
    protected int doReadBytes(ByteBuf to) throws Exception {
        int read;
        try {
            read = super.doReadBytes(to);
        } catch (IOException e) {
            if (isRetried(e, readFailures)) {
                return 0; // what waits is read in the loop's next turn
            }
            throw e;
        }
        if (read < END_OF_STREAM) { // interrupted
            readFailures.failed();
            return 0;
        }
        readDelayMs = Math.max(readDelayMs, readFailures.over());
        return read;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer from) throws Exception {
        try {
            super.doWrite(from);
        } catch (IOException e) {
            if (!isRetried(e, writeFailures)) {
                throw e;
            }
            setOpWrite(); // the rest is written in the loop's next turn
            return;
        }
        writeFailures.over();
    }
}
