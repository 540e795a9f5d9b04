package deckfall.net;

/**
 * Decides when a host's response is passed on to its client while it is still being received, and when a response that
 * makes no progress is given up.
 *
 * <p>A response of more than {@link #MAX_BUFFERED_BYTES} is timed by its first byte, and must not be cut off while its
 * host is sending, however slowly. A shorter one is timed by its last byte. Where the head does not tell the length, the
 * part that has come has to.
 */
final class ResponseStreamingPolicy {
    static final int MAX_BUFFERED_BYTES = 64 * 1024; // of a response; a longer one is streamed
    static final long UNKNOWN_LENGTH = -1;
    /** How long a long response is buffered at most; one that breaks off before that can be tried again. */
    static final long MAX_BUFFERING_MS = 100;
    /** How long neither the host sends a byte nor the client takes one, until a long response is given up. */
    static final double STALL_TIMEOUT_MS = 20_000;

    // Hosts that send in lumps pause for up to 2 s
    private static final double SHORT_STALL_TIMEOUT_MS = 2500;
    private static final int STUCK_RESPONSE_BYTES = 4 * 1024; // a short response that never ends has fewer
    private static final double STUCK_RESPONSE_BYTES_PER_MS = 32; // and has come more slowly

    private ResponseStreamingPolicy() {}

    /** Whether a response of this length is timed by its first byte. */
    static boolean isLong(long declaredBytes) {
        return declaredBytes > MAX_BUFFERED_BYTES;
    }

    /**
     * Whether a response is passed on as it comes, at a time at which its attempt would otherwise be ended. Not if it is
     * short, or if it is a part of unknown length that has come to a halt.
     */
    static boolean passesOn(long declaredBytes, int receivedBytes, double sinceHeadMs) {
        if (declaredBytes != UNKNOWN_LENGTH) {
            return isLong(declaredBytes);
        }
        return receivedBytes == 0
                || receivedBytes >= STUCK_RESPONSE_BYTES
                || receivedBytes >= sinceHeadMs * STUCK_RESPONSE_BYTES_PER_MS;
    }

    /** How long the host of a streamed response may send nothing, if its client takes all that comes. */
    static double stallTimeoutMs(long declaredBytes, long receivedBytes) {
        return isLong(Math.max(declaredBytes, receivedBytes)) ? STALL_TIMEOUT_MS : SHORT_STALL_TIMEOUT_MS;
    }
}
