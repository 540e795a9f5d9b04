package deckfall.net;

/**
 * Decides whether a request may be sent to a host now, as a first attempt, a retry or a hedged attempt. All checks
 * are made here. They run when an attempt is created and again in the loop iteration that would write its bytes, as the
 * attempt may have waited for a connection in between.
 */
final class DispatchRule {
    /** Whether the attempt may be sent, or the reason why not. */
    enum Verdict {
        ALLOWED,
        /** The drain's time is up: a response could not arrive before the process is killed. */
        SHUT_DOWN,
        /** The request has its final response, or its client is known to have disconnected. */
        ENDED,
        DEADLINE_PASSED,
        /** The body was streamed while it was received, and cannot be sent again. */
        BODY_SPENT,
        ATTEMPTS_USED,
        /** The client has closed its connection. */
        CLIENT_GONE,
        /** It is unknown whether the client has closed its connection, as much that it sent is not read yet. */
        CLIENT_MAY_HAVE_LEFT
    }

    private DispatchRule() {}

    /** Checks an attempt. {@code attempt} counts from 0; {@code drainExpired} is whether the drain's time is up. */
    static Verdict check(OpenRequest openRequest, int attempt, double now, int maxAttempts, boolean drainExpired) {
        if (drainExpired) {
            return Verdict.SHUT_DOWN;
        }
        if (openRequest.closed()) {
            return Verdict.ENDED;
        }
        if (now >= openRequest.deadlineMs()) {
            return Verdict.DEADLINE_PASSED;
        }
        if (openRequest.message.streamed()) {
            return Verdict.BODY_SPENT;
        }
        if (attempt >= maxAttempts) {
            return Verdict.ATTEMPTS_USED;
        }
        if (openRequest.clientGone()) {
            return Verdict.CLIENT_GONE;
        }
        return openRequest.clientMayHaveLeft() ? Verdict.CLIENT_MAY_HAVE_LEFT : Verdict.ALLOWED;
    }
}
