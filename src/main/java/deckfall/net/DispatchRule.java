package deckfall.net;

/**
 * The one place that decides whether a request may go out to a server now, as a first attempt, a retry or a hedged one.
 * It is asked when an attempt is decided on, and again in the turn in which its bytes would be written, as in between it
 * may have waited for a connection.
 */
final class DispatchRule {
    /** Whether it may, or why not. */
    enum Verdict {
        ALLOWED,
        /** The drain's time is up: an answer could not come before the process is killed. */
        SHUT_DOWN,
        /** The request has its final answer, or its client is known to have gone. */
        ENDED,
        DEADLINE_PASSED,
        /** The body was passed on while it came, and can't be sent again. */
        BODY_SPENT,
        ATTEMPTS_USED,
        /** The client has closed its connection by now. */
        CLIENT_GONE
    }

    private DispatchRule() {}

    /** {@code attempt} counts from 0; {@code shutDown} is whether the drain's time is up. */
    static Verdict check(OpenRequest openRequest, int attempt, double now, int maxAttempts, boolean shutDown) {
        if (shutDown) {
            return Verdict.SHUT_DOWN;
        }
        if (openRequest.closed()) {
            return Verdict.ENDED;
        }
        if (now >= openRequest.deadlineMs) {
            return Verdict.DEADLINE_PASSED;
        }
        if (openRequest.message.streamed()) {
            return Verdict.BODY_SPENT;
        }
        if (attempt >= maxAttempts) {
            return Verdict.ATTEMPTS_USED;
        }
        return openRequest.clientGone() ? Verdict.CLIENT_GONE : Verdict.ALLOWED;
    }
}
