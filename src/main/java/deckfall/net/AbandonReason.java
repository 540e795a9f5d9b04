package deckfall.net;

import deckfall.Gateway.Outcome;
import java.util.Locale;

/** Why an attempt was ended by this side before its response was complete. */
enum AbandonReason {
    /** The time that its client waits was up. */
    DEADLINE(Outcome.TIMEOUT),
    /** The time that the decision module gave the attempt was up. */
    ATTEMPT_TIMEOUT(Outcome.TIMEOUT),
    /** The decision module cancelled it. */
    CANCELLED(Outcome.CANCELLED),
    /** The time of a drain was up. */
    DRAIN_END(Outcome.TIMEOUT);

    private final Outcome outcome;

    AbandonReason(Outcome outcome) {
        this.outcome = outcome;
    }

    /** The outcome of an attempt that may have been sent. */
    Outcome outcome() {
        return outcome;
    }

    /** The name in metrics. */
    String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
