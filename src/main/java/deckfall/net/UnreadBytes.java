package deckfall.net;

/**
 * Tells since when bytes of a connection may wait to be read. While a connection is not read, its peer goes on writing
 * into the buffers of both systems; what is read from there later was sent when it was written, not when it is read.
 *
 * <p>That a read finds nothing more does not show that the peer has written nothing more: its system sends the rest only
 * once there is room. It does so at once, so that what arrives {@link #SETTLE_MS} later is new. And whatever follows more
 * bytes than both systems hold was written after reading was paused.
 */
final class UnreadBytes {
    static final double SETTLE_MS = 100;
    /** The receive buffer of a client connection; the system doubles it. */
    static final int RECEIVE_BUFFER_BYTES = 256 * 1024;
    // The largest send buffer that Linux gives a connection by itself, and the receive buffer
    static final long MAX_HELD_BYTES = (4 << 20) + 2 * RECEIVE_BUFFER_BYTES;

    private static final double NONE = -1;

    private double waitingSinceMs = NONE;
    private double emptySinceMs = NONE; // since when reads have found nothing more, and reading was not paused
    private double markMs; // when the bytes up to the mark had been read
    private long markBytes;
    private long readBytes; // in all

    /** Records bytes that were read. */
    void read(int bytes, double now) {
        readBytes += bytes;
        if (waitingSinceMs != NONE && readBytes - markBytes >= MAX_HELD_BYTES) {
            waitingSinceMs = markMs;
            mark(now);
        }
    }

    private void mark(double now) {
        markMs = now;
        markBytes = readBytes;
    }

    /**
     * Records that not all has been read that may have arrived, as reading is paused or a read took only a part. What is
     * left can't have waited for longer than {@code waitMs}.
     */
    void leftUnread(double now, double waitMs) {
        if (waitingSinceMs == NONE) {
            waitingSinceMs = now - waitMs;
            mark(now);
        }
        emptySinceMs = NONE;
    }

    /** Records a read that took all that had arrived. */
    void readInFull(double now) {
        if (waitingSinceMs != NONE && emptySinceMs == NONE) {
            emptySinceMs = now;
        }
        settle(now);
    }

    /** When bytes that are read now were sent, at the earliest, if they can't have waited for longer than given. */
    double earliestMs(double now, double waitMs) {
        settle(now);
        double latestMs = now - waitMs;
        return waitingSinceMs == NONE ? latestMs : Math.min(latestMs, waitingSinceMs);
    }

    private void settle(double now) {
        if (emptySinceMs != NONE && now - emptySinceMs >= SETTLE_MS) {
            waitingSinceMs = NONE;
            emptySinceMs = NONE;
        }
    }

    /** Whether a read has found nothing more since reading was last paused. */
    boolean foundEmpty() {
        return waitingSinceMs == NONE || emptySinceMs != NONE;
    }
}
