package deckfall.net;

import java.util.Random;

/**
 * The timing of calls to discovery: how long a call may hold, when it times out and when the next one starts.
 *
 * <p>A change must arrive within 5 s and counts as published after 6 s, both counted from when discovery had it and
 * could be reached, whichever calls came before. These are the longest delays before the call that returns the change,
 * which has the remaining time for its connect and its response:
 *
 * <pre>
 * the watch gets no response                               HOLD 2000 + TIMEOUT 1000 + delay 80      3080 ms
 *   and the next connect or call hangs                     + TIMEOUT 1000 + delay 160               4240 ms
 *   or is refused, reset or answered with 503              + delay 160                              3240 ms
 * a call of a long outage started just before its end:
 *   no response, or a connect that hangs                   LONG_TIMEOUT 2000 + delay 800            2800 ms
 *   and the next one hangs as well                         + TIMEOUT 1000 + delay 800               4600 ms
 *   a refusal, a reset or a 503                            delay 800                                 800 ms
 *   and the next one hangs                                 + LONG_TIMEOUT 2000 + delay 800          3600 ms
 * </pre>
 *
 * <p>So a call after a failed one does not hold for changes: if it got no response, that would be noticed as late as with
 * a watch.
 */
final class CallTiming {
    static final long HOLD_MS = 2000; // a watch without a response is not noticed sooner
    private static final long TIMEOUT_MS = 1000; // added to the time that a call may hold
    private static final long LONG_TIMEOUT_MS = 2000; // for some calls, as discovery may be slow rather than silent
    // consecutive failures; never two long timeouts in succession, by the sums above
    private static final int FAILURES_PER_LONG_TIMEOUT = 3;
    private static final int FAILURES_PER_ADDRESS_RELOAD = 3; // consecutive failures; the address may be outdated
    // the maximum after a first failure, as a watch counts as broken only after 200 ms
    private static final long INITIAL_BACKOFF_MS = 80;
    private static final long MAX_BACKOFF_MS = 800; // spreads the calls of gateways that discovery rejected together

    private final Backoff backoff;
    private int consecutiveFailures; // reset by a response

    CallTiming(Random random) {
        backoff = new Backoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, random);
    }

    /** How long the next call may hold for new changes if there are no missed ones to catch up on. */
    long holdMs() {
        return consecutiveFailures == 0 ? HOLD_MS : 0;
    }

    /** The time limit of a connect, and of a response beyond the time that its call may hold. */
    long timeoutMs() {
        return consecutiveFailures % FAILURES_PER_LONG_TIMEOUT == FAILURES_PER_LONG_TIMEOUT - 1
                ? LONG_TIMEOUT_MS
                : TIMEOUT_MS;
    }

    /** Records a failed call; returns the delay until the next connect. */
    long delayAfterFailureMs() {
        consecutiveFailures++;
        return backoff.nextDelayMs();
    }

    /** The delay until the next connect if discovery closed the connection after its response: the watch continues. */
    long delayAfterCloseMs() {
        return backoff.nextDelayMs();
    }

    /** Records a call that was answered. */
    void onSuccess() {
        consecutiveFailures = 0;
        backoff.reset();
    }

    /** Resets the backoff, as the next call goes to another address, to which the failures do not apply. */
    void onAddressChange() {
        backoff.reset();
    }

    /** Whether the address should be read again from the configuration. */
    boolean shouldReloadAddress() {
        return consecutiveFailures > 0 && consecutiveFailures % FAILURES_PER_ADDRESS_RELOAD == 0;
    }
}
