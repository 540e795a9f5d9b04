package deckfall.net;

/**
 * When the bytes of a connection were received that are not decoded yet. Keeps the latest times: where more are needed,
 * the oldest bytes count as received with those before them, which only lowers the time that is left for their request.
 */
final class ReceiveTimes {
    private static final int CAPACITY = 8;

    private final long[] endOffsets = new long[CAPACITY]; // of the bytes received up to each time
    private final double[] times = new double[CAPACITY];
    private int size;
    private long receivedBytes;

    /** Records bytes that were just read. */
    void received(int bytes, double time) {
        receivedBytes += bytes;
        if (size == CAPACITY) {
            removeFirst(1, times[0]);
        }
        endOffsets[size] = receivedBytes;
        times[size] = time;
        size++;
    }

    /** When the last decoded byte was received, if this many received bytes are not decoded yet. */
    double lastDecoded(int undecodedBytes) {
        long decoded = receivedBytes - undecodedBytes;
        int passed = 0;
        while (passed < size - 1 && endOffsets[passed] < decoded) {
            passed++;
        }
        if (passed > 0) {
            removeFirst(passed, times[passed]);
        }
        return times[0];
    }

    /** Removes entries; the bytes of the next one count as received at this time. */
    private void removeFirst(int count, double nextTime) {
        size -= count;
        System.arraycopy(endOffsets, count, endOffsets, 0, size);
        System.arraycopy(times, count, times, 0, size);
        times[0] = nextTime;
    }
}
