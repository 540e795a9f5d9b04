package deckfall.net;

import java.util.Random;

/**
 * How long a call to discovery waits, when it is given up and when the next one comes. A change counts as told 6 s
 * after discovery had it and could be reached, whatever call went before; it is to be heard of in 5 s. The longest
 * ways to the call that tells it, which has the rest for its connect and its answer:
 *
 * <pre>
 * the watch falls silent                                   HOLD 2000 + PATIENCE 1000 + wait 80     3080 ms
 *   and the next connect or call hangs                     + PATIENCE 1000 + wait 160              4240 ms
 *   or is refused, reset or answered 503                   + wait 160                              3240 ms
 * a call of a long spell began just before its end:
 *   silence or a connect that hangs                        LONG_PATIENCE 2000 + wait 800           2800 ms
 *   and the next one hangs too                             + PATIENCE 1000 + wait 800              4600 ms
 *   a refusal, a reset or a 503                            wait 800                                 800 ms
 *   and the next one hangs                                 + LONG_PATIENCE 2000 + wait 800         3600 ms
 * </pre>
 *
 * So a call after one that failed does not wait for news: silent, it would be noticed as late as a watch.
 */
final class CallTiming {
    static final long HOLD_MS = 2000; // a watch that has fallen silent is not noticed sooner
    private static final long TIMEOUT_MS = 1000; // beyond what a call may wait
    private static final long LONG_TIMEOUT_MS = 2000; // now and then, for a discovery that is slow and not silent
    private static final int LONG_TIMEOUT_EVERY = 3; // failures in a row; not twice running, by the sum above
    private static final int UNREACHABLE_AFTER =
            3; // calls in a row that failed: the address may be one of before a move
    private static final long INITIAL_BACKOFF_MS =
            80; // at most after a first failure: a watch is broken only after 200
    private static final long MAX_BACKOFF_MS = 800; // a fleet that is turned away comes back by and by

    private final Backoff backoff;
    private int consecutiveFailures; // in a row

    CallTiming(Random random) {
        backoff = new Backoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, random);
    }

    /** How long the next call may wait for news, where there is nothing to catch up on. */
    long holdMs() {
        return consecutiveFailures == 0 ? HOLD_MS : 0;
    }

    /** What a connect may take, and an answer beyond what its call may wait. */
    long timeoutMs() {
        return consecutiveFailures % LONG_TIMEOUT_EVERY == LONG_TIMEOUT_EVERY - 1 ? LONG_TIMEOUT_MS : TIMEOUT_MS;
    }

    /** Until the next connect after a call that failed. */
    long delayAfterFailureMs() {
        consecutiveFailures++;
        return backoff.nextDelayMs();
    }

    /** Until the next connect where the last one ended with its answer: the watch goes on. */
    long delayAfterCloseMs() {
        return backoff.nextDelayMs();
    }

    void onSuccess() {
        consecutiveFailures = 0;
        backoff.reset();
    }

    /** The next call goes elsewhere: the failures say nothing of that. */
    void onAddressChange() {
        backoff.reset();
    }

    /** Whether it is time to look for another address. */
    boolean shouldReloadAddress() {
        return consecutiveFailures > 0 && consecutiveFailures % UNREACHABLE_AFTER == 0;
    }
}
