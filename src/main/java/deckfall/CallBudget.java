package deckfall;

/**
 * Limits the calls of this gateway to a counter that all gateways share, and sets the price that a call has to save.
 *
 * <p>The capacity of the counter is not configured. The rate of calls grows while replies arrive in time and is cut
 * by a factor when they are late, rejected or missing, so that all gateways converge to their shares. The price rises
 * with each call and decays over time, so that the calls made within the rate are those that save most.
 */
final class CallBudget {
    private static final double INITIAL_FLEET_RATE = 400; // calls per second of all gateways at first
    private static final double MIN_RATE = 0.5; // calls per second; so rare calls still detect a recovered counter
    private static final double SLOW_START_GROWTH = 0.7; // of the rate, each second until the first congested reply
    private static final double GROWTH_SHARE = 0.2; // of the rate, each second after slow start
    private static final double GROWTH_STEP = 0.1; // calls per second, each second, so that small shares catch up
    private static final double RECOVERY_FACTOR = 5; // factor on the growth while far below the sustained rate
    private static final double RECOVERY_THRESHOLD = 0.6; // of the sustained rate
    private static final double MAX_CUT_SHARE = 0.15; // for a reply as late as the timeout; in proportion if earlier
    private static final double TIMELY_SHARE = 0.35; // of the timeout: slower calls are queueing at the counter
    private static final double CONGESTED_LATENESS = 0.5; // of the way from the timely share to the timeout
    private static final int MIN_TIMELY_REPLIES = 3; // timely replies after which the counter sustains the rate
    private static final double PRICE_STEP = 0.5; // of the price, added by each call
    private static final double INITIAL_PRICE_FACTOR = 50; // multiple of the minimum price
    private static final double MIN_PRICE_SHARE = 0.001; // of the mean worth: a price of zero could never rise
    private static final double CALL_BURST_MS = 500; // size of the token bucket of calls, as time at the rate
    private static final double ALLOWED_SHARE_GAIN = 0.05; // weight of one requested call in the allowed share

    private final double timeoutMs;
    private double rate; // calls per second
    private double sustainedRate; // calls per second at which replies last arrived in time
    private double callTokens;
    private double allowedShare = 1;
    private double price;
    private double minPrice;
    private double refilledAt;
    private double pricedAt;
    private double repliedAt;
    private int timelyReplies;
    private boolean inSlowStart = true;

    CallBudget(double now, double timeoutMs, int gateways) {
        this.rate = this.sustainedRate = Math.max(MIN_RATE, INITIAL_FLEET_RATE / gateways);
        this.callTokens = maxCallTokens();
        this.timeoutMs = timeoutMs;
        this.refilledAt = this.pricedAt = this.repliedAt = now;
    }

    /** Sets the minimum price: what the deployment charges for a call, or else a small share of the mean worth. */
    void updateMinPrice(double callPrice, double meanWorth) {
        double newMinPrice = Math.max(callPrice, MIN_PRICE_SHARE) * meanWorth;
        if (minPrice == 0) price = INITIAL_PRICE_FACTOR * newMinPrice;
        minPrice = newMinPrice;
    }

    /** The worth that a call has to save at this time. */
    double price(double now) {
        return Math.max(minPrice, price * Math.exp(-Math.log1p(PRICE_STEP) * rate * (now - pricedAt) / 1000));
    }

    /** Returns whether a call may be made now; a call that may not be made raises the price as well. */
    boolean allowsCall(double now) {
        boolean allowed = hasCallToken(now);
        allowedShare += ALLOWED_SHARE_GAIN * ((allowed ? 1 : 0) - allowedShare);
        if (!allowed) raisePrice(now);
        return allowed;
    }

    /** The share of the recently requested calls that were allowed. */
    double allowedShare() {
        return Math.max(ALLOWED_SHARE_GAIN, allowedShare);
    }

    /** Refills the call tokens up to now and returns whether there is one for a call. */
    boolean hasCallToken(double now) {
        callTokens = Math.min(maxCallTokens(), callTokens + rate * (now - refilledAt) / 1000);
        refilledAt = now;
        return callTokens >= 1;
    }

    /** Takes a token for a call and raises the price. */
    void recordCall(double now) {
        hasCallToken(now);
        callTokens--;
        raisePrice(now);
    }

    private double maxCallTokens() {
        return 1 + rate * CALL_BURST_MS / 1000;
    }

    private void raisePrice(double now) {
        price = price(now) * (1 + PRICE_STEP);
        pricedAt = now;
    }

    /** Adapts the rate to the end of a call; {@code succeeded} is false if it was rejected or got no reply. */
    void recordReply(double now, double latencyMs, boolean succeeded) {
        double lateness = succeeded ? Math.min(1, (latencyMs / timeoutMs - TIMELY_SHARE) / (1 - TIMELY_SHARE)) : 1;
        double seconds = Math.min(1, (now - repliedAt) / 1000);
        repliedAt = now;
        if (lateness <= 0) {
            timelyReplies++;
            double recovery = rate < RECOVERY_THRESHOLD * sustainedRate ? RECOVERY_FACTOR : 1;
            double growth = inSlowStart ? SLOW_START_GROWTH * rate : GROWTH_STEP + GROWTH_SHARE * rate * recovery;
            // At the minimum price few calls are made, and their replies are no evidence for a higher rate.
            if (price(now) > minPrice) rate += seconds * growth;
            return;
        }
        if (timelyReplies >= MIN_TIMELY_REPLIES) sustainedRate = rate;
        rate = Math.max(MIN_RATE, rate * (1 - MAX_CUT_SHARE * lateness));
        if (lateness < CONGESTED_LATENESS) return;
        timelyReplies = 0;
        inSlowStart = false;
    }
}
