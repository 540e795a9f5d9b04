package deckfall.net;

import java.io.IOException;
import java.util.Set;

/**
 * Which failed system calls on a connection say nothing of the connection itself, so that the same call may succeed a
 * moment later. Java tells the errors of Linux by their texts alone.
 */
final class TransientErrors {
    private static final Set<String> SYSTEM_ERROR_MESSAGES = Set.of(
            "Interrupted system call", // EINTR
            "Resource temporarily unavailable", // EAGAIN
            "No buffer space available", // ENOBUFS
            "Cannot allocate memory"); // ENOMEM
    private static final Set<String> UNREACHABLE_MESSAGES = Set.of(
            "Connection timed out", // ETIMEDOUT
            "No route to host", // EHOSTUNREACH
            "Network is unreachable", // ENETUNREACH
            "Network is down"); // ENETDOWN

    private TransientErrors() {}

    /** The system lacked something for a moment. */
    static boolean isSystemError(IOException e) {
        return SYSTEM_ERROR_MESSAGES.contains(String.valueOf(e.getMessage()));
    }

    /**
     * The peer could not be reached. Where that has ended the connection, the next read finds its end, which must not
     * be taken for an end that the peer wanted: only who needs no more from the peer may read again.
     */
    static boolean isUnreachable(IOException e) {
        return UNREACHABLE_MESSAGES.contains(String.valueOf(e.getMessage()));
    }
}
