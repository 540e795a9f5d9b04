package deckfall.net;

/** Accounts for the bytes of request bodies and responses that a node buffers, against a limit. */
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

    /** Whether more than half of the limit is used, so that nothing should be buffered that can wait. */
    boolean nearlyExhausted() {
        return usedBytes > limitBytes / 2;
    }

    /** Whether the limit is exceeded, so that new requests are refused. */
    boolean exhausted() {
        return usedBytes > limitBytes;
    }

    long limitBytes() {
        return limitBytes;
    }

    long usedBytes() {
        return usedBytes;
    }
}
