package deckfall.net;

import java.io.IOException;
import java.util.Set;

/**
 * Recognizes failed system calls on a connection that say nothing about the connection itself, so that the same call
 * may succeed a moment later. Java reports the errors of Linux by their message texts only.
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

    /** Whether the system interrupted the call or lacked a resource for a moment. */
    static boolean isSystemError(IOException e) {
        return SYSTEM_ERROR_MESSAGES.contains(String.valueOf(e.getMessage()));
    }

    /**
     * Whether the remote side could not be reached. If that has ended the connection, the next read reports the end of
     * the stream, which must not be mistaken for a close by the remote side. Only a caller that needs no more data from
     * there may therefore read again.
     */
    static boolean isUnreachable(IOException e) {
        return UNREACHABLE_MESSAGES.contains(String.valueOf(e.getMessage()));
    }
}
