package deckfall.net;

/** The bytes of bodies and answers that a node holds, and how many it may. */
final class MemoryBudget {
    private final long limitBytes;
    private long usedBytes;

    MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    void reserve(long bytes) {
        usedBytes += bytes;
    }

    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Nothing more that could wait should be kept. */
    boolean nearlyExhausted() {
        return usedBytes > limitBytes / 2;
    }

    /** New requests are to be refused. */
    boolean exhausted() {
        return usedBytes > limitBytes;
    }

    long usedBytes() {
        return usedBytes;
    }
}
